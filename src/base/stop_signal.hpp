#pragma once

#include "base/clock.hpp"

namespace mangolink
{

/// Receives SIGTERM and SIGINT synchronously. Create it before any thread
/// starts, so that all threads inherit the blocked signals.
class stop_signal final
{
public:
    stop_signal();

    /// Waits for a stop signal; returns false if the limit passes first. Main
    /// thread only.
    bool wait(milliseconds limit) const;
};

} // namespace mangolink
