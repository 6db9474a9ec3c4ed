#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "request/answer_history.hpp"

#include <memory>
#include <optional>

namespace mangolink
{

struct socket_address;

/// Persistent connection to a server, used for one exchange at a time. Used by
/// one thread.
class backend_connection final
    : public std::enable_shared_from_this<backend_connection>
{
public:
    explicit backend_connection(asio::io_context& context);

    /// Connects within the limit; returns the error if that fails.
    asio::awaitable<error_code> connect(const socket_address& address,
                                        milliseconds limit);

    /// Begins an idle time, in which the connection is closed as soon as the
    /// peer closes it or sends anything.
    void begin_idle();

    /// Ends the idle time. Returns whether the connection is clean().
    bool end_idle();

    /// Returns whether the peer has neither closed the idle connection nor
    /// sent bytes that belong to no request.
    bool clean();

    /// Closes the socket and aborts pending operations.
    void close();

    /// Keep-alive time that the server stated last, if any.
    const std::optional<milliseconds>& keep_alive() const
    {
        return keep_alive_;
    }
    void set_keep_alive(milliseconds time) { keep_alive_ = time; }

    /// Results that the answers to calls on this connection have named.
    answer_history& history() { return history_; }

    tcp::socket& socket() { return socket_; }
    boost::beast::flat_buffer& buffer() { return buffer_; }

private:
    asio::io_context& context_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<milliseconds> keep_alive_;
    answer_history history_;
    bool idle_ = false;
};

} // namespace mangolink
