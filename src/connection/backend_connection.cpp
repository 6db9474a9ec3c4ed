#include "connection/backend_connection.hpp"

#include "base/socket_address.hpp"
#include "connection/scoped_timeout.hpp"
#include "connection/socket_state.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace mangolink
{
namespace
{

/// Keep-alive probes detect a dead idle connection within about three seconds,
/// before a request is sent on it.
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;

/// TCP_USER_TIMEOUT: the connection fails if sent bytes stay unacknowledged
/// for this time.
constexpr int unacknowledged_ms = 3000;

void set_option(int socket, int level, int name, int value)
{
    // Errors are ignored: without the option the connection still works, and
    // the time limits of exchanges still apply.
    (void)::setsockopt(socket, level, name, &value, sizeof(value));
}

} // namespace

backend_connection::backend_connection(asio::io_context& context)
    : context_(context), socket_(context)
{
}

asio::awaitable<error_code>
backend_connection::connect(const socket_address& address, milliseconds limit)
{
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.host, error),
                                 address.port);
    if (error)
    {
        co_return error;
    }
    socket_.open(endpoint.protocol(), error);
    if (error)
    {
        co_return error;
    }
    set_option(socket_.native_handle(), SOL_SOCKET, SO_RCVBUF,
               receive_buffer_bytes);
    bool timed_out = false;
    {
        const scoped_timeout guard(context_, limit, [this] { close(); });
        co_await socket_.async_connect(endpoint, redirect_to(error));
        timed_out = guard.expired();
    }
    if (error || timed_out)
    {
        close();
        co_return timed_out ? asio::error::timed_out : error;
    }
    const int native = socket_.native_handle();
    set_option(native, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(native, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(native, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set_option(native, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_option(native, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
    set_option(native, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
    co_return error_code();
}

void backend_connection::begin_idle()
{
    idle_ = true;
    if (buffer_.size() == 0)
    {
        buffer_ = {};
    }
    socket_.async_wait(tcp::socket::wait_read,
                       [weak = weak_from_this()](const error_code& error)
                       {
                           const auto self = weak.lock();
                           if (!error && self && self->idle_)
                           {
                               self->close();
                           }
                       });
}

bool backend_connection::end_idle()
{
    idle_ = false;
    error_code ignored; // ends the wait of begin_idle()
    socket_.cancel(ignored);
    return clean();
}

bool backend_connection::clean()
{
    return buffer_.size() == 0 && socket_.is_open() &&
           peek_socket(socket_) == socket_read_state::nothing;
}

void backend_connection::close()
{
    close_socket(socket_);
}

} // namespace mangolink
