#pragma once

#include "connection/asio_types.hpp"

#include <string>

namespace mangolink
{

/// Receive buffer of a socket: bounds the bytes that arrive while nothing is
/// read. The kernel may keep twice as much.
constexpr int receive_buffer_bytes = 64 * 1024;

/// State of a socket for reading, determined without consuming data.
enum class socket_read_state : std::uint8_t
{
    nothing,
    bytes,
    closed ///< by the peer, or failed
};

socket_read_state peek_socket(tcp::socket& socket);

/// Returns whether the peer has closed or reset the connection.
inline bool peer_has_closed(tcp::socket& socket)
{
    return peek_socket(socket) == socket_read_state::closed;
}

/// Returns the address of the peer for the log.
std::string peer_name(const tcp::socket& socket);

/// Closes a socket and ignores errors.
void close_socket(tcp::socket& socket);

} // namespace mangolink
