#include "connection/listening_socket.hpp"

#include "base/socket_address.hpp"
#include "connection/socket_state.hpp"

namespace mangolink
{

tcp::acceptor open_listening_socket(asio::io_context& io,
                                    const socket_address& address)
{
    const tcp::endpoint endpoint(asio::ip::make_address(address.host),
                                 address.port);
    tcp::acceptor acceptor(io);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    // Accepted sockets inherit the size.
    acceptor.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    acceptor.bind(endpoint);
    acceptor.listen();
    return acceptor;
}

asio::awaitable<void> pause(asio::io_context& io, milliseconds time)
{
    asio::steady_timer timer(io, time);
    error_code ignored; // the timer is never cancelled
    co_await timer.async_wait(redirect_to(ignored));
}

} // namespace mangolink
