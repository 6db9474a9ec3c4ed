#include "connection/standby_attempt.hpp"

#include "connection/backend_exchange.hpp"
#include "connection/failure_log.hpp"
#include "connection/forward_attempt.hpp"
#include "connection/request_stages.hpp"

namespace mangolink
{
namespace
{

/// Delay before the request is sent elsewhere again. A refusal costs an
/// attempt, so that only refused stages and connects are repeated often.
constexpr milliseconds retry_interval{500};

} // namespace

standby_attempt::standby_attempt(asio::io_context& io, send_function send,
                                 std::function<void()> on_ready)
    : io_(io), send_(std::move(send)), on_ready_(std::move(on_ready)),
      retry_delay_(io), finished_(io, asio::steady_timer::time_point::max())
{
}

standby_attempt::~standby_attempt() = default;

void standby_attempt::start()
{
    running_ = true;
    asio::co_spawn(
        io_, [self = shared_from_this()] { return self->run(); },
        [self = shared_from_this()](const std::exception_ptr& failure)
        {
            failure_log("standby attempt")(failure);
            self->running_ = false;
            self->send_ = nullptr; // refers to the owner of this object
            self->finished_.cancel();
        });
}

void standby_attempt::stop()
{
    stopped_ = true;
    retry_delay_.cancel();
    if (stages_)
    {
        stages_->stop();
    }
    if (exchange_)
    {
        exchange_->abort();
    }
}

asio::awaitable<standby_attempt::attempt_pointer> standby_attempt::result()
{
    last_try_ = true;
    retry_delay_.cancel();
    while (running_)
    {
        error_code ignored; // cancelling the timer signals the end
        co_await finished_.async_wait(redirect_to(ignored));
    }
    co_return take();
}

standby_attempt::attempt_pointer standby_attempt::take()
{
    return std::move(attempt_);
}

void standby_attempt::hold(std::shared_ptr<request_stages> stages)
{
    stages_ = std::move(stages);
}

void standby_attempt::hold(std::shared_ptr<backend_exchange> exchange)
{
    exchange_ = std::move(exchange);
}

asio::awaitable<void> standby_attempt::run()
{
    while (!stopped_)
    {
        attempt_ = co_await send_(*this);
        if (attempt_ || last_try_ || stopped_)
        {
            break;
        }
        error_code ignored; // cancelled by stop() and result()
        retry_delay_.expires_after(retry_interval);
        co_await retry_delay_.async_wait(redirect_to(ignored));
        if (last_try_)
        {
            break;
        }
    }
    if (attempt_)
    {
        on_ready_();
    }
}

} // namespace mangolink
