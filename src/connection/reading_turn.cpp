#include "connection/reading_turn.hpp"

namespace mangolink
{

reading_turn::reading_turn(asio::io_context& io)
    : wake_(io, asio::steady_timer::time_point::max())
{
}

void reading_turn::set_reads(bool reads)
{
    reads_ = reads;
    wake_.cancel();
}

void reading_turn::want_configuration()
{
    configuration_wanted_ = true;
    wake_.cancel();
}

asio::awaitable<void> reading_turn::until_reads()
{
    while (!reads_)
    {
        co_await wait();
    }
}

asio::awaitable<void> reading_turn::until_configuration_wanted()
{
    while (!reads_ && !configuration_wanted_)
    {
        co_await wait();
    }
}

asio::awaitable<void> reading_turn::wait()
{
    error_code ignored; // a cancelled wait is an event
    co_await wake_.async_wait(redirect_to(ignored));
}

} // namespace mangolink
