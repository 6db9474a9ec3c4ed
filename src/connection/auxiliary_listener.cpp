#include "connection/auxiliary_listener.hpp"

#include "base/log.hpp"
#include "connection/failure_log.hpp"
#include "connection/listening_socket.hpp"
#include "connection/scoped_timeout.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace mangolink
{
namespace
{

constexpr milliseconds idle_timeout{30'000};

} // namespace

auxiliary_listener::auxiliary_listener(asio::io_context& io,
                                       tcp::acceptor acceptor, handler handle)
    : io_(io), acceptor_(std::move(acceptor)), handle_(std::move(handle))
{
    asio::co_spawn(io_, accept(), failure_log("auxiliary accept loop"));
}

asio::awaitable<void> auxiliary_listener::accept()
{
    while (true)
    {
        error_code error;
        tcp::socket socket(io_);
        co_await acceptor_.async_accept(socket, redirect_to(error));
        if (error)
        {
            log_warning("gateway", "Accept failed.",
                        {{"reason", error.message()}});
            co_await pause(io_, accept_retry_delay);
            continue;
        }
        asio::co_spawn(io_, serve(std::move(socket)),
                       failure_log("auxiliary connection"));
    }
}

asio::awaitable<void> auxiliary_listener::serve(tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    error_code error;
    bool open = true;
    while (open && !error)
    {
        const scoped_timeout timeout(
            io_, idle_timeout,
            [&socket]
            {
                error_code ignored; // the read below then fails
                socket.close(ignored);
            });
        text_request request;
        co_await http::async_read(socket, buffer, request, redirect_to(error));
        if (error)
        {
            break;
        }
        text_response response = handle_(request);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        open = response.keep_alive();
        co_await http::async_write(socket, response, redirect_to(error));
    }
}

} // namespace mangolink
