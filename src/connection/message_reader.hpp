#pragma once

#include "connection/asio_types.hpp"
#include "connection/received_body.hpp"

#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace mangolink
{

class memory_account;

/// Limits of a message. They hold while it is read.
struct message_limits final
{
    std::uint32_t head_bytes = 0;
    std::uint64_t body_bytes = 0;
};

/// Reads one HTTP message, which is a request or a response, from a socket.
///
/// Memory is allocated for bytes that have arrived, never for a length that the
/// message declares, and charged to an account; asio::error::no_memory tells
/// that the account has lost it. The calling coroutine parses them, so an
/// exception ends the coroutine that owns the connection and nothing else. Used
/// by one thread.
template <bool is_request>
class message_reader final
{
public:
    using message = http::message<is_request, http::string_body>;

    /// `buffer`: received bytes that belong to no earlier message.
    message_reader(tcp::socket& socket, boost::beast::flat_buffer& buffer,
                   message_limits limits, memory_account& memory);

    /// The message has no body, whatever its head declares.
    void expect_no_body();

    /// Reads the head. Skips interim responses, which announce a response and
    /// are none. Returns the error if that fails.
    asio::awaitable<error_code> read_head();

    /// Reads some of the body; the head must have been read.
    asio::awaitable<error_code> read_some();

    /// Reads up to the end of the message.
    asio::awaitable<error_code> read_rest();

    bool head_complete() const { return parser_->is_header_done(); }
    bool complete() const { return parser_->is_done(); }
    bool keep_alive() const { return parser_->keep_alive(); }

    /// Returns how many bytes of the body are still to come, if the message
    /// declares its length; otherwise 0. The head must have been read.
    std::uint64_t remaining_bytes() const
    {
        return parser_->content_length_remaining().value_or(0);
    }

    /// Returns whether the message ends with its connection.
    bool ends_with_connection() const { return parser_->need_eof(); }

    const http::header<is_request, http::fields>& head() const
    {
        return parser_->get().base();
    }

    /// Returns the bytes of the body that were read and not moved.
    const std::string& body() const { return parser_->get().body(); }

    /// Moves the bytes of the body to `target`, which holds the earlier ones.
    /// They stay charged.
    void move_body_to(std::string& target);

    /// Frees the bytes of the body, also those moved to `target` if it is not
    /// null.
    void discard_body(std::string* target = nullptr);

    /// `reading`: false while nothing is read. What the socket may receive
    /// meanwhile is charged.
    void set_reading(bool reading);

    /// Returns the complete message; the reader can't be used any more.
    message release();

private:
    void start_parser();
    bool is_interim() const;
    bool has_valid_status() const;
    asio::awaitable<error_code> parse_some();
    bool charge();
    std::size_t next_read_size() const;

    tcp::socket& socket_;
    boost::beast::flat_buffer& buffer_;
    message_limits limits_;
    memory_account& memory_;
    std::size_t moved_bytes_ = 0;  ///< held by the target of move_body_to()
    std::size_t unread_bytes_ = 0; ///< may be in the socket
    bool has_no_body_ = false;
    bool more_may_wait_ = false; ///< the last read filled its buffer
    /// Replaced after an interim response; never empty.
    std::optional<http::parser<is_request, received_body>> parser_;
};

using request_reader = message_reader<true>;
using response_reader = message_reader<false>;

} // namespace mangolink
