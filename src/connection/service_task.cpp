#include "connection/service_task.hpp"

#include "connection/failure_log.hpp"
#include "connection/listening_socket.hpp"

namespace mangolink
{
namespace
{

constexpr milliseconds restart_delay{100};

asio::awaitable<void> keep_running(asio::io_context& io, const char* name,
                                   std::function<asio::awaitable<void>()> run)
{
    while (true)
    {
        std::exception_ptr failure;
        try
        {
            co_await run();
        }
        catch (...) // logged below
        {
            failure = std::current_exception();
        }
        if (!failure)
        {
            co_return;
        }
        failure_log{name}(failure);
        co_await pause(io, restart_delay);
    }
}

} // namespace

void spawn_service(asio::io_context& io, const char* name,
                   std::function<asio::awaitable<void>()> run)
{
    asio::co_spawn(io, keep_running(io, name, std::move(run)),
                   failure_log(name));
}

void run_handlers(asio::io_context& io)
{
    while (!io.stopped())
    {
        try
        {
            io.run();
        }
        catch (...) // the loop goes on with the next handler
        {
            failure_log("handler")(std::current_exception());
        }
    }
}

} // namespace mangolink
