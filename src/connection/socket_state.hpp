#pragma once

#include "connection/asio_types.hpp"

namespace mangolink
{

/// What can be read from a socket now, without reading it.
enum class socket_read_state : std::uint8_t
{
    nothing,
    bytes,
    closed ///< by the peer, or broken
};

socket_read_state peek_socket(tcp::socket& socket);

/// Returns whether the peer has closed or reset the connection.
inline bool peer_has_closed(tcp::socket& socket)
{
    return peek_socket(socket) == socket_read_state::closed;
}

/// Closes a socket; an error changes nothing, since it is given up.
void close_socket(tcp::socket& socket);

} // namespace mangolink
