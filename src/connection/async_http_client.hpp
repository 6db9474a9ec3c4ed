#pragma once

#include "base/clock.hpp"
#include "base/socket_address.hpp"
#include "connection/asio_types.hpp"

#include <memory>
#include <string>

namespace mangolink
{

class backend_connection;

/// Makes calls to one server, one after another, on a connection that is kept
/// open between them. Each call is bounded by time. Used by one thread.
class async_http_client final
{
public:
    /// How a call ended: `error` tells why there is no answer.
    struct result final
    {
        error_code error;
        text_response answer;

        bool ok() const
        {
            return !error && answer.result() == http::status::ok;
        }

        /// Returns why the call gave nothing: the error or the status.
        std::string reason() const;
    };

    async_http_client(asio::io_context& context, socket_address address);
    ~async_http_client();

    /// Makes a call for a target with GET. `limit` is for connecting and for
    /// the whole answer, each.
    asio::awaitable<result> call(std::string target, milliseconds limit);

private:
    asio::awaitable<error_code> connect(milliseconds limit);

    asio::io_context& context_;
    socket_address address_;
    std::shared_ptr<backend_connection> connection_;
};

} // namespace mangolink
