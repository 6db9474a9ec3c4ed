#include "standins/engine_reports.hpp"

namespace mangolink::bench
{
namespace
{

constexpr std::size_t max_events = 10'000;

} // namespace

engine_reports::engine_reports(milliseconds lag, double gaps,
                               std::uint64_t seed)
    : lag_(lag), gaps_(gaps), random_(seed)
{
}

void engine_reports::add_load(engine_load load, boot_clock::time_point now)
{
    loads_.push_back({now, load});
    while (loads_.size() > 1 && now - loads_[1].at > lag_)
    {
        loads_.pop_front();
    }
}

void engine_reports::add_event(std::uint64_t block, bool stored,
                               boot_clock::time_point now)
{
    const std::uint64_t sequence = next_sequence_++;
    if (std::uniform_real_distribution<>(0, 1)(random_) < gaps_)
    {
        return;
    }
    events_.push_back({now, {sequence, block, stored}});
    if (events_.size() > max_events)
    {
        events_.pop_front();
    }
}

engine_load engine_reports::load(boot_clock::time_point now)
{
    while (loads_.size() > 1 && now - loads_[1].at >= lag_)
    {
        loads_.pop_front();
    }
    const bool old_enough = !loads_.empty() && now - loads_[0].at >= lag_;
    return old_enough ? loads_[0].load : engine_load{};
}

std::vector<cache_event>
engine_reports::events_after(std::uint64_t sequence,
                             boot_clock::time_point now) const
{
    std::vector<cache_event> result;
    for (const auto& entry : events_)
    {
        if (entry.event.sequence > sequence && now - entry.at >= lag_)
        {
            result.push_back(entry.event);
        }
    }
    return result;
}

} // namespace mangolink::bench
