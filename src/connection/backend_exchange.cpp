#include "connection/backend_exchange.hpp"

#include "connection/backend_connection.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <limits>

namespace mangolink
{
namespace
{

/// Number of skipped answers to other requests after which the exchange fails.
constexpr int max_foreign_answers = 3;

constexpr std::uint32_t answer_header_limit = 64 * 1024;

} // namespace

backend_exchange::backend_exchange(
    std::shared_ptr<const backend_server> server,
    std::shared_ptr<backend_connection> connection, send_permit permit,
    const forward_protocol& protocol, answer_listener listener,
    text_request request, std::string expected_id)
    : server_(std::move(server)), connection_(std::move(connection)),
      permit_(std::move(permit)), protocol_(protocol),
      listener_(std::move(listener)), request_(std::move(request)),
      expected_id_(std::move(expected_id)), serializer_(request_)
{
}

asio::awaitable<bool> backend_exchange::begin()
{
    const auto self = shared_from_this(); // keeps both buffers alive
    write_request();
    for (int i = 0; i <= max_foreign_answers; ++i)
    {
        if (!co_await read_head())
        {
            co_return false;
        }
        if (is_expected())
        {
            co_return true;
        }
        if (!co_await skip_body())
        {
            co_return false;
        }
    }
    failed_ = true;
    co_return false;
}

asio::awaitable<bool> backend_exchange::read_some(std::string& body)
{
    const auto self = shared_from_this();
    auto& received = parser_->get().body();
    if (received.empty() && !parser_->is_done())
    {
        co_await http::async_read_some(connection_->socket(),
                                       connection_->buffer(), *parser_,
                                       redirect_to(error_));
    }
    body += received;
    received.clear();
    if (error_)
    {
        failed_ = true;
        co_return false;
    }
    co_return true;
}

bool backend_exchange::complete() const
{
    return parser_ && parser_->is_done() && parser_->get().body().empty();
}

void backend_exchange::abort()
{
    failed_ = true;
    connection_->close();
}

bool backend_exchange::reusable() const
{
    return !failed_ && written_ && complete() && parser_->keep_alive() &&
           connection_->buffer().size() == 0 && !metadata_.server_leaving;
}

bool backend_exchange::closed_by_server() const
{
    for (const error_code closed : {error_code(asio::error::eof),
                                    error_code(asio::error::connection_reset),
                                    error_code(asio::error::broken_pipe),
                                    error_code(http::error::end_of_stream),
                                    error_code(http::error::partial_message)})
    {
        if (error_ == closed)
        {
            return true;
        }
    }
    return complete() && ends_with_connection();
}

bool backend_exchange::is_expected() const
{
    return expected_id_.empty() || metadata_.request_id == expected_id_;
}

bool backend_exchange::ends_with_connection() const
{
    return parser_->need_eof();
}

const http::response_header<>& backend_exchange::head() const
{
    return parser_->get().base();
}

void backend_exchange::write_request()
{
    sent_ = true;
    sent_at_ = boot_clock::now();
    http::async_write(
        connection_->socket(), serializer_,
        [self = shared_from_this()](const error_code& error, std::size_t bytes)
        {
            self->written_ = !error;
            if (error && bytes == 0)
            {
                self->sent_ = false;
            }
            else
            {
                self->permit_.use();
            }
        });
}

asio::awaitable<bool> backend_exchange::read_head()
{
    parser_ = std::make_unique<parser>();
    parser_->header_limit(answer_header_limit);
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    if (request_.method() == http::verb::head)
    {
        parser_->skip(true);
    }
    co_await http::async_read_header(connection_->socket(),
                                     connection_->buffer(), *parser_,
                                     redirect_to(error_));
    if (error_)
    {
        failed_ = true;
        co_return false;
    }
    metadata_ = protocol_.read_answer(parser_->get().base());
    if (listener_)
    {
        listener_({*server_, metadata_, sent_at_, is_expected()});
    }
    co_return true;
}

asio::awaitable<bool> backend_exchange::skip_body()
{
    std::string ignored;
    while (!complete())
    {
        if (!co_await read_some(ignored))
        {
            co_return false;
        }
        ignored.clear();
    }
    co_return true;
}

} // namespace mangolink
