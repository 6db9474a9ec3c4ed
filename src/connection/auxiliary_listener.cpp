#include "connection/auxiliary_listener.hpp"

#include "base/log.hpp"
#include "connection/failure_log.hpp"
#include "connection/listening_socket.hpp"
#include "connection/message_reader.hpp"
#include "connection/scoped_timeout.hpp"
#include "connection/service_task.hpp"
#include "process/memory_account.hpp"

#include <boost/beast/http/write.hpp>

namespace mangolink
{
namespace
{

constexpr milliseconds idle_timeout{30'000};

/// Probes and requests of operators have no body.
constexpr message_limits request_limits{8 * 1024, 8ULL * 1024};

} // namespace

auxiliary_listener::auxiliary_listener(asio::io_context& io,
                                       tcp::acceptor acceptor, handler handle,
                                       memory_budget& memory)
    : io_(io), acceptor_(std::move(acceptor)), handle_(std::move(handle)),
      memory_(memory)
{
    spawn_service(io_, "auxiliary accept loop", [this] { return accept(); });
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
    const auto close = [&socket]
    {
        error_code ignored; // the read below then fails
        socket.close(ignored);
    };
    boost::beast::flat_buffer buffer;
    memory_account memory(memory_, memory_holder::probe, close);
    error_code error;
    bool open = true;
    while (open && !error)
    {
        const scoped_timeout timeout(io_, idle_timeout, close);
        request_reader reader(socket, buffer, request_limits, memory);
        error = co_await reader.read_rest();
        if (error)
        {
            break;
        }
        const text_request request = reader.release();
        text_response response = handle_(request);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        open = response.keep_alive();
        co_await http::async_write(socket, response, redirect_to(error));
    }
}

} // namespace mangolink
