#include "request/stage_plan.hpp"

#include <algorithm>
#include <numeric>

namespace mangolink
{

stage_plan::stage_plan(std::vector<stage_definition> stages,
                       const std::vector<std::uint32_t>& item_counts)
    : stages_(std::move(stages)), items_(stages_.size())
{
    for (std::size_t i = 0; i < stages_.size() && i < item_counts.size(); ++i)
    {
        items_[i].resize(item_counts[i]);
    }
}

std::vector<stage_item> stage_plan::take_ready()
{
    std::vector<stage_item> ready;
    const auto longest = longest_chain();
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        if (!inputs_made(stage) || 1 + stages_after(stage) < longest)
        {
            continue;
        }
        for (std::uint32_t i = 0; i < items_[stage].size(); ++i)
        {
            if (items_[stage][i].state == item_state::waiting)
            {
                items_[stage][i].state = item_state::issued;
                ready.push_back({stage, i});
            }
        }
    }
    return ready;
}

bool stage_plan::made(stage_item item, std::string handle)
{
    item_record& record = items_[item.stage][item.index];
    if (record.state != item_state::issued)
    {
        return false;
    }
    record.state = item_state::made;
    record.handle = std::move(handle);
    return true;
}

void stage_plan::requeue(stage_item item)
{
    item_record& record = items_[item.stage][item.index];
    if (record.state == item_state::issued)
    {
        record.state = item_state::waiting;
    }
}

std::vector<std::string> stage_plan::restart()
{
    auto handles = unreleased();
    for (auto& stage : items_)
    {
        for (auto& record : stage)
        {
            record = {};
        }
    }
    return handles;
}

std::vector<std::string> stage_plan::inputs_of(std::uint32_t stage) const
{
    std::vector<std::string> handles;
    for (const auto input : stages_[stage].input_stages)
    {
        append_handles(input, handles);
    }
    return handles;
}

std::vector<stage_result> stage_plan::final_results() const
{
    std::vector<stage_result> results;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        if (!is_final(stage))
        {
            continue;
        }
        for (const auto& record : items_[stage])
        {
            if (record.state == item_state::made)
            {
                results.push_back({record.handle, stages_[stage].result_bytes});
            }
        }
    }
    return results;
}

std::vector<std::string> stage_plan::take_used()
{
    std::vector<std::string> handles;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        if (is_final(stage))
        {
            continue;
        }
        bool used = true;
        for (std::uint32_t other = 0; other < stages_.size(); ++other)
        {
            const auto& from = stages_[other].input_stages;
            if (std::find(from.begin(), from.end(), stage) != from.end())
            {
                used = used && all_made(other);
            }
        }
        for (auto& record : items_[stage])
        {
            if (used && record.state == item_state::made)
            {
                record.state = item_state::released;
                handles.push_back(record.handle);
            }
        }
    }
    return handles;
}

std::vector<std::string> stage_plan::unreleased() const
{
    std::vector<std::string> handles;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        append_handles(stage, handles);
    }
    return handles;
}

bool stage_plan::complete() const
{
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        if (!all_made(stage))
        {
            return false;
        }
    }
    return true;
}

std::uint32_t stage_plan::stages_after(std::uint32_t stage) const
{
    std::uint32_t longest = 0;
    for (std::uint32_t other = stage + 1; other < stages_.size(); ++other)
    {
        const auto& from = stages_[other].input_stages;
        if (!items_[other].empty() &&
            std::find(from.begin(), from.end(), stage) != from.end())
        {
            longest = std::max(longest, 1 + stages_after(other));
        }
    }
    return longest;
}

milliseconds stage_plan::expected_time(
    const std::function<milliseconds(std::uint32_t stage)>& time) const
{
    // Stages at the same distance from the end run in parallel; see
    // take_ready().
    std::vector<milliseconds> by_distance(stages_.size(), milliseconds(0));
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        if (!items_[stage].empty())
        {
            auto& slowest = by_distance[stages_after(stage)];
            slowest = std::max(slowest, time(stage));
        }
    }
    return std::accumulate(by_distance.begin(), by_distance.end(),
                           milliseconds(0));
}

bool stage_plan::all_made(std::uint32_t stage) const
{
    return std::all_of(items_[stage].begin(), items_[stage].end(),
                       [](const item_record& record)
                       {
                           return record.state == item_state::made ||
                                  record.state == item_state::released;
                       });
}

bool stage_plan::inputs_made(std::uint32_t stage) const
{
    const auto& from = stages_[stage].input_stages;
    return std::all_of(from.begin(), from.end(),
                       [this](std::uint32_t input) { return all_made(input); });
}

std::uint32_t stage_plan::longest_chain() const
{
    std::uint32_t longest = 0;
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage)
    {
        if (!all_made(stage))
        {
            longest = std::max(longest, 1 + stages_after(stage));
        }
    }
    return longest;
}

bool stage_plan::is_final(std::uint32_t stage) const
{
    return std::none_of(stages_.begin(), stages_.end(),
                        [stage](const stage_definition& other)
                        {
                            const auto& from = other.input_stages;
                            return std::find(from.begin(), from.end(), stage) !=
                                   from.end();
                        });
}

void stage_plan::append_handles(std::uint32_t stage,
                                std::vector<std::string>& handles) const
{
    for (const auto& record : items_[stage])
    {
        if (record.state == item_state::made)
        {
            handles.push_back(record.handle);
        }
    }
}

} // namespace mangolink
