#include "connection/backend_exchange.hpp"

#include "connection/backend_connection.hpp"

#include <boost/beast/http/write.hpp>

#include <limits>

namespace mangolink
{
namespace
{

/// Number of skipped answers to other requests after which the exchange fails.
constexpr int max_foreign_answers = 3;

/// Limit of a skipped answer.
constexpr std::uint64_t max_foreign_bytes = 1024 * 1024;

/// A stream has any length; read_rest() limits other answers.
constexpr message_limits answer_limits{
    64 * 1024, std::numeric_limits<std::uint64_t>::max()};

} // namespace

backend_exchange::backend_exchange(
    std::shared_ptr<const backend_server> server,
    std::shared_ptr<backend_connection> connection, send_permit permit,
    const forward_protocol& protocol, answer_listener listener,
    memory_budget& memory, text_request request, std::string expected_id)
    : server_(std::move(server)), connection_(std::move(connection)),
      permit_(std::move(permit)), protocol_(protocol),
      listener_(std::move(listener)),
      memory_(memory, memory_holder::server_answer, [this] { reclaim(); }),
      request_(std::move(request)), expected_id_(std::move(expected_id)),
      serializer_(request_)
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
    if (reader_->body().empty() && !reader_->complete())
    {
        error_ = co_await reader_->read_some();
    }
    if (!error_ && write_error_ && reader_->complete() &&
        ends_with_connection())
    {
        // A reset is reported once: to the write. To the read it looks like the
        // end of the answer.
        error_ = write_error_;
    }
    reader_->move_body_to(body);
    if (error_)
    {
        failed_ = true;
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> backend_exchange::read_rest(std::string& body,
                                                  std::uint64_t max_bytes)
{
    if (reader_->remaining_bytes() > max_bytes)
    {
        fail(http::error::body_limit);
    }
    while (!failed_ && !complete())
    {
        const bool read = co_await read_some(body);
        if (read && body.size() > max_bytes)
        {
            fail(http::error::body_limit);
        }
    }
    if (failed_)
    {
        reader_->discard_body(&body);
    }
    co_return !failed_;
}

void backend_exchange::set_on_reclaim(std::function<void()> on_reclaim)
{
    memory_.set_on_reclaim(std::move(on_reclaim));
}

void backend_exchange::reclaim()
{
    // After the end of the exchange another one may use the connection.
    if (!complete())
    {
        abort();
    }
}

void backend_exchange::fail(const error_code& error)
{
    error_ = error;
    failed_ = true;
}

bool backend_exchange::complete() const
{
    return reader_ && reader_->complete() && reader_->body().empty();
}

void backend_exchange::abort()
{
    failed_ = true;
    connection_->close();
}

bool backend_exchange::reusable() const
{
    return !failed_ && written_ && complete() && reader_->keep_alive() &&
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
    return reader_->ends_with_connection();
}

const http::response_header<>& backend_exchange::head() const
{
    return reader_->head();
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
            self->write_error_ = error;
            std::string().swap(self->request_.body());
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
    reader_ = std::make_unique<response_reader>(
        connection_->socket(), connection_->buffer(), answer_limits, memory_);
    if (request_.method() == http::verb::head)
    {
        reader_->expect_no_body();
    }
    error_ = co_await reader_->read_head();
    if (error_)
    {
        failed_ = true;
        co_return false;
    }
    metadata_ = protocol_.read_answer(reader_->head());
    if (listener_)
    {
        listener_({*server_, metadata_, sent_at_, is_expected()});
    }
    co_return true;
}

asio::awaitable<bool> backend_exchange::skip_body()
{
    std::string ignored;
    co_return co_await read_rest(ignored, max_foreign_bytes);
}

} // namespace mangolink
