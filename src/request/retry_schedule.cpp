#include "request/retry_schedule.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Callers are not asked to wait for longer than this after the first place.
constexpr milliseconds max_spread{10'000};
constexpr std::chrono::duration<double> max_interval = max_spread;

} // namespace

milliseconds retry_schedule::next_delay(milliseconds first, double per_second,
                                        boot_clock::time_point now)
{
    const auto earliest = now + first;
    if (next_ < earliest || next_ > earliest + max_spread)
    {
        next_ = earliest;
    }
    const auto place = next_;
    const std::chrono::duration<double> interval(
        per_second > 0 ? 1 / per_second : max_interval.count());
    next_ += std::chrono::duration_cast<boot_clock::duration>(
        std::min(interval, max_interval));
    return std::chrono::ceil<milliseconds>(place - now);
}

} // namespace mangolink
