#include "request/work_queue.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Number of customers above which idle ones are removed.
constexpr std::size_t max_idle_flows = 4096;

/// Minimum cost of a call in the fair queue.
constexpr microseconds min_cost{100};

} // namespace

void work_queue::push(queued_work item)
{
    flow& customer_flow = flows_[item.customer];
    if (customer_flow.waiting.empty())
    {
        customer_flow.start_tag =
            std::max(customer_flow.start_tag, virtual_time_);
        active_.emplace(customer_flow.start_tag, item.customer);
    }
    customer_flow.waiting.insert(rank_of(item));
    total_work_ += item.work;
    const call_id id = item.id;
    items_.emplace(id, std::move(item));
}

std::optional<queued_work> work_queue::pop()
{
    if (active_.empty())
    {
        return std::nullopt;
    }
    const active_flow first = *active_.begin();
    active_.erase(active_.begin());
    flow& customer_flow = flows_.at(first.second);
    const call_id id = customer_flow.waiting.begin()->id;
    customer_flow.waiting.erase(customer_flow.waiting.begin());

    const auto found = items_.find(id);
    queued_work item = std::move(found->second);
    items_.erase(found);
    total_work_ -= item.work;

    virtual_time_ = first.first;
    const auto cost = std::max(item.work, min_cost);
    customer_flow.start_tag += static_cast<double>(cost.count()) /
                               static_cast<double>(std::max(item.weight, 1U));
    if (!customer_flow.waiting.empty())
    {
        active_.emplace(customer_flow.start_tag, first.second);
    }
    forget_idle_flows();
    return item;
}

bool work_queue::remove(call_id id)
{
    const auto found = items_.find(id);
    if (found == items_.end())
    {
        return false;
    }
    const queued_work& item = found->second;
    flow& customer_flow = flows_.at(item.customer);
    customer_flow.waiting.erase(rank_of(item));
    if (customer_flow.waiting.empty())
    {
        active_.erase({customer_flow.start_tag, item.customer});
    }
    total_work_ -= item.work;
    items_.erase(found);
    return true;
}

work_queue::rank work_queue::rank_of(const queued_work& item)
{
    return {item.priority, item.deadline, item.id};
}

void work_queue::forget_idle_flows()
{
    if (flows_.size() <= max_idle_flows)
    {
        return;
    }
    for (auto it = flows_.begin(); it != flows_.end();)
    {
        const auto current = it++;
        const bool behind = current->second.start_tag <= virtual_time_;
        if (current->second.waiting.empty() && behind)
        {
            flows_.erase(current);
        }
    }
}

} // namespace mangolink
