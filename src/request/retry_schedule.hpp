#pragma once

#include "base/clock.hpp"

namespace mangolink
{

/// Times at which refused callers should come back, spread so that no more come
/// at once than can be served. Not thread-safe.
class retry_schedule final
{
public:
    /// Returns the delay for a caller refused now: at least `first`, later by
    /// the time of one request for each caller refused before. Repeats from
    /// `first` once it would exceed a limit.
    milliseconds next_delay(milliseconds first, double per_second,
                            boot_clock::time_point now);

private:
    boot_clock::time_point next_;
};

} // namespace mangolink
