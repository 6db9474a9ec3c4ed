#include "connection/store_reader_activation.hpp"

namespace mangolink
{

store_reader_activation::store_reader_activation(asio::io_context& io)
    : wake_(io, asio::steady_timer::time_point::max())
{
}

void store_reader_activation::set_active(bool is_active)
{
    active_ = is_active;
    wake_.cancel();
}

void store_reader_activation::want_configuration()
{
    configuration_wanted_ = true;
    wake_.cancel();
}

asio::awaitable<void> store_reader_activation::until_active()
{
    while (!active_)
    {
        co_await wait();
    }
}

asio::awaitable<void> store_reader_activation::until_configuration_wanted()
{
    while (!active_ && !configuration_wanted_)
    {
        co_await wait();
    }
}

asio::awaitable<void> store_reader_activation::wait()
{
    error_code ignored; // a state change cancels the wait
    co_await wake_.async_wait(redirect_to(ignored));
}

} // namespace mangolink
