#include "connection/scoped_timeout.hpp"

namespace mangolink
{

/// Shared with the timer's handler, which may outlive the scoped_timeout.
struct scoped_timeout::state final
{
    state(asio::io_context& context, std::function<void()> on_expired)
        : timer(context), action(std::move(on_expired))
    {
    }

    asio::steady_timer timer;
    std::function<void()> action;
    bool expired = false;
};

scoped_timeout::scoped_timeout(asio::io_context& context, milliseconds limit,
                               std::function<void()> action)
    : state_(std::make_shared<state>(context, std::move(action)))
{
    state_->timer.expires_after(limit);
    state_->timer.async_wait(
        [shared_state = state_](const error_code&)
        {
            if (shared_state->action)
            {
                shared_state->expired = true;
                const auto on_expired =
                    std::exchange(shared_state->action, nullptr);
                on_expired();
            }
        });
}

scoped_timeout::~scoped_timeout()
{
    state_->action = nullptr;
    state_->timer.cancel();
}

bool scoped_timeout::expired() const
{
    return state_->expired;
}

} // namespace mangolink
