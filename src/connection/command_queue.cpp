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
    while (take())
    {
    }
    cds_wfcq_destroy(&head_, &tail_);
}

void command_queue::push(command action)
{
    auto* fresh = new node;
    cds_wfcq_node_init(fresh);
    fresh->action = std::move(action);
    annotate_release(fresh);
    cds_wfcq_enqueue(cds_wfcq_head_cast(&head_), &tail_, fresh);
    if (!signalled_.exchange(true))
    {
        wakeup_.signal();
    }
}

void command_queue::run_all()
{
    wakeup_.clear();
    signalled_.store(false);
    while (const auto taken = take())
    {
        taken->action();
    }
}

std::unique_ptr<command_queue::node> command_queue::take()
{
    cds_wfcq_node* link =
        __cds_wfcq_dequeue_blocking(cds_wfcq_head_cast(&head_), &tail_);
    auto* taken = static_cast<node*>(link);
    annotate_acquire(taken);
    return std::unique_ptr<node>(taken);
}

} // namespace mangolink
