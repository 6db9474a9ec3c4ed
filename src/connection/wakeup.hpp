#pragma once

#include "base/clock.hpp"

namespace mangolink
{

/// Event descriptor that any thread can signal to wake an event loop.
class wakeup final
{
public:
    /// Throws std::system_error when no descriptor is available.
    wakeup();
    ~wakeup();

    wakeup(const wakeup&) = delete;
    wakeup& operator=(const wakeup&) = delete;

    int descriptor() const { return descriptor_; }

    /// Makes the descriptor readable.
    void signal();

    /// Resets the descriptor until the next signal.
    void clear();

private:
    int descriptor_;
};

} // namespace mangolink
