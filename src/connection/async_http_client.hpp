#pragma once

#include "base/clock.hpp"
#include "base/socket_address.hpp"
#include "connection/asio_types.hpp"
#include "process/adaptive_timeout.hpp"

#include <memory>
#include <string>

namespace mangolink
{

class backend_connection;
class memory_budget;

/// Asynchronous HTTP client of one server. Makes sequential calls on a
/// persistent connection, each with a timeout that adapts to the latency of the
/// answers. Used by one thread.
class async_http_client final
{
public:
    /// Result of a call; `error` is set if there is no response.
    struct result final
    {
        error_code error;
        text_response answer;
        bool connected = false;
        milliseconds limit{0};          ///< of the step that timed out
        std::size_t received_bytes = 0; ///< of the body, if the call failed

        bool ok() const
        {
            return !error && answer.result() == http::status::ok;
        }

        /// Returns why the call failed: the error or the status. A time-out
        /// tells how far the call had come.
        std::string reason() const;
    };

    /// `memory`: bounds the bytes of responses.
    async_http_client(asio::io_context& context, socket_address address,
                      memory_budget& memory);
    ~async_http_client();

    /// Sends a GET request for a target. `latency_limit` applies to receiving
    /// the complete response after the time that the server may wait before it
    /// answers, and to connecting. It grows after timeouts.
    asio::awaitable<result> call(std::string target, milliseconds server_wait,
                                 milliseconds latency_limit);

private:
    asio::awaitable<error_code> connect(milliseconds usual_limit);

    asio::io_context& context_;
    socket_address address_;
    memory_budget& memory_;
    adaptive_timeout connect_timeout_;
    adaptive_timeout response_timeout_;
    std::shared_ptr<backend_connection> connection_;
};

} // namespace mangolink
