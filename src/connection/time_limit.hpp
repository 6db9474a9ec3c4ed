#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"

#include <functional>
#include <memory>

namespace mangolink
{

/// Calls an action when a time is over, unless it is destroyed before. The
/// action runs on the context's thread, at most once.
class time_limit final
{
public:
    time_limit(asio::io_context& context, milliseconds limit,
               std::function<void()> action);
    ~time_limit();

    time_limit(const time_limit&) = delete;
    time_limit& operator=(const time_limit&) = delete;

    /// Returns whether the action was called.
    bool passed() const;

private:
    struct state;

    std::shared_ptr<state> state_;
};

} // namespace mangolink
