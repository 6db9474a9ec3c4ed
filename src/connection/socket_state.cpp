#include "connection/socket_state.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace mangolink
{

socket_read_state peek_socket(tcp::socket& socket)
{
    char byte = 0;
    const auto got =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0)
    {
        return socket_read_state::bytes;
    }
    const bool waiting = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return waiting ? socket_read_state::nothing : socket_read_state::closed;
}

std::string peer_name(const tcp::socket& socket)
{
    error_code error;
    const auto peer = socket.remote_endpoint(error);
    return error
               ? error.message()
               : peer.address().to_string() + ":" + std::to_string(peer.port());
}

void close_socket(tcp::socket& socket)
{
    error_code ignored;
    socket.close(ignored);
}

} // namespace mangolink
