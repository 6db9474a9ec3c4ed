#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"

namespace mangolink
{

struct socket_address;

/// Delay after a failed accept, mostly caused by a lack of file descriptors.
constexpr milliseconds accept_retry_delay{250};

/// Opens a listening socket; throws boost::system::system_error.
tcp::acceptor open_listening_socket(asio::io_context& io,
                                    const socket_address& address);

/// Suspends the calling coroutine for the given time.
asio::awaitable<void> pause(asio::io_context& io, milliseconds time);

} // namespace mangolink
