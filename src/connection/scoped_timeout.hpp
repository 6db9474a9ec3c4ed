#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"

#include <functional>
#include <memory>

namespace mangolink
{

/// Calls an action after a time limit, unless it is destroyed before. The
/// action runs on the context's thread, at most once.
class scoped_timeout final
{
public:
    scoped_timeout(asio::io_context& context, milliseconds limit,
                   std::function<void()> action);
    ~scoped_timeout();

    scoped_timeout(const scoped_timeout&) = delete;
    scoped_timeout& operator=(const scoped_timeout&) = delete;

    /// Returns whether the action was called.
    bool expired() const;

private:
    struct state;

    std::shared_ptr<state> state_;
};

} // namespace mangolink
