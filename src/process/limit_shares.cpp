#include "process/limit_shares.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace mangolink
{
namespace
{

/// The sizes of all buckets for a server add up to this much and the requests
/// of the burst time.
constexpr double burst_tokens = 2;
constexpr milliseconds burst_time{500};
constexpr milliseconds strict_burst_time{200};

/// Smallest bucket. With fewer tokens, pauses between requests go unused.
constexpr double min_bucket = 2;

/// Every share is computed again after a change of the demand, which costs more
/// the more processes and limited servers there are.
constexpr milliseconds demand_interval{1000};

/// A process that is not heard for a shorter time goes on being a sender, as
/// heartbeats may be lost.
constexpr milliseconds silence_grace{3000};

/// Time for which the share of a silent process stays reserved, and for which
/// others use more than `min_fraction` of a limit only if it is theirs. So two
/// halves of a fleet that is cut in two never exceed a limit by half.
constexpr milliseconds full_reserve_time{30'000};
constexpr milliseconds partial_reserve_time{300'000};
constexpr double min_fraction = 0.6;

/// Part of a limit that a process other than the owner may use.
constexpr double other_fraction = 0.25;

double total_burst(double per_second, milliseconds of_time)
{
    const std::chrono::duration<double> time = of_time;
    return burst_tokens + time.count() * per_second;
}

} // namespace

limit_shares::limit_shares(std::string self)
    : self_(std::move(self)), senders_{self_}
{
    processes_[self_];
}

void limit_shares::set_demand(const std::string& process,
                              const demand_levels& levels)
{
    const auto found = processes_.find(process);
    if (found != processes_.end() && found->second.demand != levels)
    {
        found->second.demand = levels;
        demand_changed_ = true;
    }
}

void limit_shares::update(const std::vector<limit_process>& alive,
                          boot_clock::time_point now)
{
    std::vector<std::string> senders;
    for (const auto& process : alive)
    {
        if (process.stopping)
        {
            processes_.erase(process.name);
            continue;
        }
        processes_[process.name].last_alive = now;
    }
    absl::erase_if(
        processes_, [now](const auto& pair)
        { return now - pair.second.last_alive > partial_reserve_time; });
    for (const auto& [name, entry] : processes_)
    {
        if (now - entry.last_alive <= silence_grace)
        {
            senders.push_back(name);
        }
    }
    if (senders.empty())
    {
        processes_[self_].last_alive = now;
        senders.push_back(self_); // all are stopping
    }
    const double fraction = usable_fraction(senders.size(), now);
    std::sort(senders.begin(), senders.end());
    const bool demand_due =
        demand_changed_ && now - demand_applied_ >= demand_interval;
    if (demand_due || senders != senders_ || fraction != fraction_)
    {
        senders_ = std::move(senders);
        fraction_ = fraction;
        demand_changed_ = false;
        demand_applied_ = now;
        ++version_;
    }
}

double limit_shares::usable_fraction(std::size_t alive,
                                     boot_clock::time_point now) const
{
    const bool reserved = std::any_of(
        processes_.begin(), processes_.end(),
        [now](const auto& pair)
        {
            const auto silence = now - pair.second.last_alive;
            return silence > silence_grace && silence <= full_reserve_time;
        });
    const double fraction =
        static_cast<double>(alive) / static_cast<double>(processes_.size());
    return reserved ? fraction : std::max(fraction, min_fraction);
}

limit_share limit_shares::share(std::uint64_t server_start,
                                std::uint64_t service, double per_second) const
{
    std::vector<rank> ranks;
    ranks.reserve(senders_.size());
    const bool any_demand = std::any_of(senders_.begin(), senders_.end(),
                                        [&](const auto& name)
                                        { return demand(name, service) > 0; });
    for (const auto& name : senders_)
    {
        const double weight = any_demand ? demand(name, service) : 1;
        if (weight > 0)
        {
            ranks.emplace_back(
                weighted_rank(stable_hash(name, server_start), weight), &name);
        }
    }
    return part_of(std::move(ranks), per_second,
                   total_burst(per_second, burst_time));
}

limit_share limit_shares::strict_share(std::uint64_t server_start,
                                       double per_second) const
{
    std::vector<rank> ranks;
    ranks.reserve(senders_.size());
    for (const auto& name : senders_)
    {
        ranks.emplace_back(weighted_rank(stable_hash(name, server_start), 1),
                           &name);
    }
    return part_of(std::move(ranks), per_second,
                   total_burst(per_second, strict_burst_time));
}

limit_share limit_shares::part_of(std::vector<rank> ranks, double per_second,
                                  double burst) const
{
    const auto count = std::min(
        ranks.size(), static_cast<std::size_t>(std::floor(burst / min_bucket)));
    std::partial_sort(ranks.begin(),
                      ranks.begin() + static_cast<std::ptrdiff_t>(count),
                      ranks.end(), std::greater<>());
    for (std::size_t i = 0; i < count; ++i)
    {
        if (*ranks[i].second == self_)
        {
            const auto parts = static_cast<double>(count);
            return {per_second * fraction_ / parts, burst / parts};
        }
    }
    return {};
}

limit_share limit_shares::owner_share(bool owner, double per_second) const
{
    const double rate = per_second * fraction_ * (owner ? 1 : other_fraction);
    return {rate, owner ? total_burst(per_second, burst_time) : 1};
}

double limit_shares::demand(const std::string& process,
                            std::uint64_t service) const
{
    const auto& levels = processes_.at(process).demand;
    const auto found = levels.find(service);
    return found == levels.end() ? 0 : std::exp2(found->second);
}

} // namespace mangolink
