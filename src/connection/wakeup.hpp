#pragma once

#include "base/clock.hpp"

namespace mangolink
{

/// Descriptor that any thread can make readable, for an event loop.
class wakeup final
{
public:
    /// Throws std::system_error when no descriptor can be had.
    wakeup();
    ~wakeup();

    wakeup(const wakeup&) = delete;
    wakeup& operator=(const wakeup&) = delete;

    int descriptor() const { return descriptor_; }

    /// Makes the descriptor readable.
    void signal();

    /// Makes it unreadable until the next signal.
    void clear();

private:
    int descriptor_;
};

} // namespace mangolink
