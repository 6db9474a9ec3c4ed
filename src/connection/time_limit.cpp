#include "connection/time_limit.hpp"

namespace mangolink
{

/// Outlives the limit while its timer's handler is still queued.
struct time_limit::state final
{
    state(asio::io_context& context, std::function<void()> on_passed)
        : timer(context), action(std::move(on_passed))
    {
    }

    asio::steady_timer timer;
    std::function<void()> action;
    bool passed = false;
};

time_limit::time_limit(asio::io_context& context, milliseconds limit,
                       std::function<void()> action)
    : state_(std::make_shared<state>(context, std::move(action)))
{
    state_->timer.expires_after(limit);
    state_->timer.async_wait(
        [row = state_](const error_code&)
        {
            if (row->action)
            {
                row->passed = true;
                const auto on_passed = std::exchange(row->action, nullptr);
                on_passed();
            }
        });
}

time_limit::~time_limit()
{
    state_->action = nullptr;
    state_->timer.cancel();
}

bool time_limit::passed() const
{
    return state_->passed;
}

} // namespace mangolink
