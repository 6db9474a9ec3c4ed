#pragma once

#include "base/clock.hpp"

namespace mangolink
{

/// SIGTERM and SIGINT as events. Make one before any thread starts, so that
/// all threads leave the signals to it.
class stop_signal final
{
public:
    stop_signal();

    /// Waits until the process is asked to stop; returns false when the time
    /// is over first. Main thread only.
    bool wait(milliseconds limit) const;
};

} // namespace mangolink
