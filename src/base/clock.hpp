#pragma once

#include <chrono>
#include <cstdint>

namespace mangolink
{

/// Monotonic clock that includes the time a machine is suspended.
///
/// Decision code gets time points of this clock as arguments and never reads
/// it. now() is thread-safe.
class boot_clock final
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// Returns the time since the machine booted.
    static time_point now() noexcept;
};

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts any duration to whole microseconds for a message; negative
/// durations become 0.
template <class Rep, class Period>
constexpr std::uint64_t to_wire(std::chrono::duration<Rep, Period> value)
{
    const auto count = std::chrono::duration_cast<microseconds>(value).count();
    return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

/// Converts whole microseconds of a message to a duration. Values above one day
/// are clamped to one day.
constexpr microseconds from_wire(std::uint64_t value)
{
    constexpr std::uint64_t day_us = 86'400'000'000;
    return microseconds(value < day_us ? value : day_us);
}

} // namespace mangolink
