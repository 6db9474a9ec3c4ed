#include "connection/message_reader.hpp"

#include "connection/socket_state.hpp"
#include "process/memory_account.hpp"

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace mangolink
{
namespace
{

constexpr std::size_t max_read_bytes = 64 * 1024;

/// Larger buffers are freed at the end of a message, as the connection may be
/// idle for long.
constexpr std::size_t max_idle_buffer_bytes = 4 * 1024;

/// Received bytes that are not parsed yet are limited to a head and this much,
/// so that endless chunk extensions and trailers reach the limit.
constexpr std::size_t unparsed_bytes = 64 * 1024;

/// The parser accepts any three digits.
constexpr unsigned min_status = 100;

/// A server that sends more has no response to announce.
constexpr int max_interim_responses = 8;

} // namespace

template <bool is_request>
message_reader<is_request>::message_reader(tcp::socket& socket,
                                           boost::beast::flat_buffer& buffer,
                                           message_limits limits,
                                           memory_account& memory)
    : socket_(socket), buffer_(buffer), limits_(limits), memory_(memory)
{
    buffer_.max_size(
        std::max(buffer_.capacity(), limits.head_bytes + unparsed_bytes));
    start_parser();
}

template <bool is_request>
void message_reader<is_request>::expect_no_body()
{
    has_no_body_ = true;
    parser_->skip(true);
}

template <bool is_request>
void message_reader<is_request>::start_parser()
{
    parser_.emplace();
    parser_->header_limit(limits_.head_bytes);
    parser_->body_limit(limits_.body_bytes);
    parser_->skip(has_no_body_);
}

template <bool is_request>
bool message_reader<is_request>::is_interim() const
{
    if constexpr (is_request)
    {
        return false;
    }
    else
    {
        return http::to_status_class(head().result_int()) ==
               http::status_class::informational;
    }
}

template <bool is_request>
bool message_reader<is_request>::has_valid_status() const
{
    if constexpr (is_request)
    {
        return true;
    }
    else
    {
        return head().result_int() >= min_status;
    }
}

template <bool is_request>
asio::awaitable<error_code> message_reader<is_request>::read_head()
{
    for (int skipped = 0; skipped <= max_interim_responses; ++skipped)
    {
        parser_->eager(false);
        error_code error;
        while (!error && !parser_->is_header_done())
        {
            error = co_await parse_some();
        }
        if (!error && !has_valid_status())
        {
            error = http::error::bad_status;
        }
        if (error || !is_interim())
        {
            co_return error;
        }
        start_parser();
    }
    co_return http::error::bad_status;
}

template <bool is_request>
asio::awaitable<error_code> message_reader<is_request>::read_some()
{
    return parse_some();
}

template <bool is_request>
asio::awaitable<error_code> message_reader<is_request>::read_rest()
{
    error_code error;
    if (!head_complete())
    {
        error = co_await read_head();
    }
    parser_->eager(true);
    while (!error && !parser_->is_done())
    {
        error = co_await parse_some();
    }
    co_return error;
}

template <bool is_request>
void message_reader<is_request>::move_body_to(std::string& target)
{
    auto& received = parser_->get().body();
    append_received(target, received);
    received.clear();
    moved_bytes_ = target.capacity();
}

template <bool is_request>
void message_reader<is_request>::discard_body(std::string* target)
{
    std::string().swap(parser_->get().body());
    if (target != nullptr)
    {
        std::string().swap(*target);
        moved_bytes_ = 0;
    }
    charge();
}

template <bool is_request>
void message_reader<is_request>::set_reading(bool reading)
{
    unread_bytes_ = reading ? 0 : receive_buffer_bytes;
    charge(); // if that takes the memory back, the next read fails
}

template <bool is_request>
bool message_reader<is_request>::charge()
{
    return memory_.resize(buffer_.capacity() + body().capacity() +
                          moved_bytes_ + unread_bytes_);
}

template <bool is_request>
std::size_t message_reader<is_request>::next_read_size() const
{
    const std::size_t size = boost::beast::read_size(buffer_, max_read_bytes);
    if (!more_may_wait_)
    {
        return size;
    }
    // Each read takes a pass of the event loop, which is long in a busy
    // process.
    error_code error;
    const std::size_t arrived = socket_.available(error);
    const std::size_t room =
        std::min(max_read_bytes, buffer_.max_size() - buffer_.size());
    return std::clamp(arrived, size, std::max(size, room));
}

template <bool is_request>
typename message_reader<is_request>::message
message_reader<is_request>::release()
{
    auto received = parser_->release();
    message result(std::move(received.base()));
    result.body() = std::move(received.body());
    return result;
}

template <bool is_request>
asio::awaitable<error_code> message_reader<is_request>::parse_some()
{
    error_code error;
    bool parse = buffer_.size() > 0;
    while (true)
    {
        if (parse)
        {
            buffer_.consume(parser_->put(buffer_.data(), error));
            if (parser_->is_done() &&
                buffer_.capacity() > max_idle_buffer_bytes)
            {
                buffer_.shrink_to_fit();
            }
            if (!charge())
            {
                co_return asio::error::no_memory;
            }
            if (error != http::error::need_more)
            {
                co_return error;
            }
        }
        const std::size_t size = next_read_size();
        if (size == 0)
        {
            co_return http::error::buffer_overflow;
        }
        error = {};
        const std::size_t received = co_await socket_.async_read_some(
            buffer_.prepare(size), redirect_to(error));
        buffer_.commit(received);
        more_may_wait_ = received == size;
        if (error == asio::error::eof && parser_->got_some())
        {
            error = {};
            parser_->put_eof(error);
            co_return error;
        }
        if (error)
        {
            co_return error == asio::error::eof
                ? error_code(http::error::end_of_stream)
                : error;
        }
        parse = true;
    }
}

template class message_reader<true>;
template class message_reader<false>;

} // namespace mangolink
