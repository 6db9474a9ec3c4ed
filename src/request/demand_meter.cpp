#include "request/demand_meter.hpp"

#include "base/hash.hpp"

#include <cmath>

namespace mangolink
{
namespace
{

constexpr milliseconds update_interval{1000};

/// Weight of the newest second in the moving average, if it is above and below
/// the average. A rate that falls slowly keeps its level over short pauses.
constexpr double rise_weight = 0.4;
constexpr double fall_weight = 0.08;

/// Rates below this count as none.
constexpr double min_rate = 0.05;

/// A level is kept while the rate is within this distance of it, in powers of
/// two.
constexpr double level_reach = 0.8;

} // namespace

void demand_meter::count(std::string_view service)
{
    ++rates_[stable_hash(service)].counted;
}

void demand_meter::update(boot_clock::time_point now)
{
    const std::chrono::duration<double> elapsed = now - updated_;
    if (elapsed < update_interval)
    {
        return;
    }
    updated_ = now;
    for (auto& [service, rate] : rates_)
    {
        const double change = rate.counted / elapsed.count() - rate.per_second;
        rate.per_second += (change > 0 ? rise_weight : fall_weight) * change;
        rate.counted = 0;
        if (rate.per_second < min_rate)
        {
            levels_.erase(service);
            continue;
        }
        const double exact = std::log2(rate.per_second);
        const auto [level, added] = levels_.emplace(service, 0);
        if (added || std::abs(exact - level->second) > level_reach)
        {
            level->second = static_cast<int>(std::lround(exact));
        }
    }
    absl::erase_if(rates_, [](const auto& pair)
                   { return pair.second.per_second < min_rate; });
}

} // namespace mangolink
