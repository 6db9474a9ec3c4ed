#include "connection/command_queue.hpp"

#include "base/race_annotations.hpp"

namespace mangolink
{

command_queue::command_queue()
{
    cds_wfcq_init(&head_, &tail_);
}

command_queue::~command_queue()
{
    while (dequeue())
    {
    }
    cds_wfcq_destroy(&head_, &tail_);
}

void command_queue::push(command action)
{
    auto* new_node = new node;
    cds_wfcq_node_init(new_node);
    new_node->action = std::move(action);
    annotate_release(new_node);
    cds_wfcq_enqueue(cds_wfcq_head_cast(&head_), &tail_, new_node);
    if (!signalled_.exchange(true))
    {
        wakeup_.signal();
    }
}

void command_queue::run_all()
{
    wakeup_.clear();
    signalled_.store(false);
    while (const auto command_node = dequeue())
    {
        command_node->action();
    }
}

std::unique_ptr<command_queue::node> command_queue::dequeue()
{
    cds_wfcq_node* link =
        __cds_wfcq_dequeue_blocking(cds_wfcq_head_cast(&head_), &tail_);
    auto* command_node = static_cast<node*>(link);
    annotate_acquire(command_node);
    return std::unique_ptr<node>(command_node);
}

} // namespace mangolink
