#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"

namespace mangolink
{

struct socket_address;

/// Pause after an accept that failed, mostly for lack of descriptors.
constexpr milliseconds accept_retry_delay{250};

/// Opens a listening socket; throws boost::system::system_error.
tcp::acceptor open_listening_socket(asio::io_context& io,
                                    const socket_address& address);

/// Waits for a time.
asio::awaitable<void> pause(asio::io_context& io, milliseconds time);

} // namespace mangolink
