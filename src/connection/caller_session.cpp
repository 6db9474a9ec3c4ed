#include "connection/caller_session.hpp"

#include "base/log.hpp"
#include "connection/failure_log.hpp"
#include "connection/forward_run.hpp"
#include "connection/gateway_context.hpp"
#include "connection/scoped_timeout.hpp"
#include "connection/socket_state.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/write.hpp>

namespace mangolink
{
namespace
{

/// Timeout for receiving the body of a request.
constexpr milliseconds body_timeout{15'000};

/// Capacity of the buffer that a connection keeps between two requests.
constexpr std::size_t max_idle_buffer = 2048;

/// Timeout of a write; a caller that does not read is disconnected.
constexpr milliseconds write_timeout{5000};

/// Callers are told to stop using an idle connection this much before it is
/// closed, so that no request crosses the close.
constexpr milliseconds idle_announcement_margin{1000};

/// Idle limit of a connection whose first request will be refused.
constexpr milliseconds refused_idle_limit{2000};

/// How long the rest of a rejected request is read and discarded, so that
/// closing does not reset the connection before the caller has read the
/// response.
constexpr milliseconds linger_timeout{1000};

/// Returns the response status for a read error, or nothing when the peer just
/// closed the connection.
std::optional<http::status> response_status_for(const error_code& error)
{
    if (error == http::error::end_of_stream ||
        error == http::error::partial_message)
    {
        return std::nullopt;
    }
    if (error == http::error::header_limit ||
        error == http::error::buffer_overflow)
    {
        return http::status::request_header_fields_too_large;
    }
    if (error == http::error::body_limit)
    {
        return http::status::payload_too_large;
    }
    if (error.category() ==
        http::make_error_code(http::error::bad_value).category())
    {
        return http::status::bad_request;
    }
    return std::nullopt;
}

} // namespace

caller_session::caller_session(gateway_context& context, tcp::socket socket,
                               bool refused)
    : context_(context), socket_(std::move(socket)),
      memory_(context.memory, memory_holder::caller_request,
              [this] { on_reclaim(); }),
      refused_(refused)
{
    ++context_.open_callers;
}

caller_session::~caller_session()
{
    --context_.open_callers;
}

asio::awaitable<void> caller_session::run()
{
    error_code ignored; // the option only reduces latency
    socket_.set_option(tcp::no_delay(true), ignored);
    while (!closed_ && co_await wait_for_request())
    {
        const auto arrival = boot_clock::now();
        const auto limits = context_.limits();
        request_reader request(socket_, buffer_,
                               {limits.header_bytes, limits.body_bytes},
                               memory_);
        if (!co_await read_request(request))
        {
            break;
        }
        if (refused_)
        {
            co_await refuse_connection();
            break;
        }
        keep_alive_ = request.keep_alive();
        chunked_ = request.head().version() >= 11;
        text_request message = request.release();
        shrink_buffer();
        if (!co_await serve(std::move(message), arrival))
        {
            break;
        }
    }
    co_await linger_and_close();
}

asio::awaitable<bool> caller_session::write_response(text_response response)
{
    response.version(11);
    announce_keep_alive(response);
    response.prepare_payload();
    error_code error;
    const scoped_timeout timeout(context_.io, write_timeout,
                                 [this] { close(); });
    co_await http::async_write(socket_, response, redirect_to(error));
    co_return written(error);
}

asio::awaitable<bool> caller_session::begin_stream(http::response_header<> head)
{
    http::response<http::empty_body> response(std::move(head));
    response.version(11);
    keep_alive_ = keep_alive_ && chunked_;
    announce_keep_alive(response);
    response.chunked(chunked_);
    http::response_serializer<http::empty_body> serializer(response);
    error_code error;
    const scoped_timeout timeout(context_.io, write_timeout,
                                 [this] { close(); });
    co_await http::async_write_header(socket_, serializer, redirect_to(error));
    co_return written(error);
}

asio::awaitable<bool> caller_session::send(std::string_view part)
{
    error_code error;
    const scoped_timeout timeout(context_.io, write_timeout,
                                 [this] { close(); });
    const asio::const_buffer bytes(part.data(), part.size());
    if (chunked_)
    {
        const auto chunk = http::make_chunk(bytes);
        co_await asio::async_write(socket_, chunk, redirect_to(error));
    }
    else
    {
        co_await asio::async_write(socket_, bytes, redirect_to(error));
    }
    co_return written(error);
}

asio::awaitable<bool> caller_session::end_stream()
{
    error_code error;
    if (chunked_)
    {
        const scoped_timeout timeout(context_.io, write_timeout,
                                     [this] { close(); });
        const auto last_chunk = http::make_chunk_last();
        co_await asio::async_write(socket_, last_chunk, redirect_to(error));
    }
    co_return written(error);
}

bool caller_session::written(const error_code& error)
{
    if (error)
    {
        log_end("Answer not written.", error.message());
        close();
    }
    return !error;
}

void caller_session::cut()
{
    if (!chunked_)
    {
        // A plain close would look like the end of the answer.
        error_code ignored; // the connection closes in any case
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    close();
}

asio::awaitable<bool> caller_session::wait_for_request()
{
    if (buffer_.size() > 0)
    {
        co_return true;
    }
    const auto start_time = boot_clock::now();
    while (true)
    {
        // A new configuration may have changed the limit during the wait.
        const auto limit =
            refused_ ? refused_idle_limit : context_.limits().idle_timeout;
        const auto left = std::chrono::duration_cast<milliseconds>(
            start_time + limit - boot_clock::now());
        if (left <= milliseconds(0) &&
            peek_socket(socket_) != socket_read_state::bytes)
        {
            close();
            co_return false;
        }
        error_code error;
        {
            const scoped_timeout timeout(
                context_.io, std::max(left, milliseconds(0)),
                [this]
                {
                    error_code ignored; // the wait below ends
                    socket_.cancel(ignored);
                });
            co_await socket_.async_wait(tcp::socket::wait_read,
                                        redirect_to(error));
        }
        if (error != asio::error::operation_aborted)
        {
            co_return !error && !closed_;
        }
    }
}

asio::awaitable<bool> caller_session::read_request(request_reader& request)
{
    error_code error;
    read_timed_out_ = false;
    const auto on_timeout = [this]
    {
        read_timed_out_ = true;
        cancel_read();
    };
    {
        const scoped_timeout timeout(
            context_.io, context_.limits().header_timeout, on_timeout);
        error = co_await request.read_head();
    }
    if (!error && request.head()[http::field::expect] == "100-continue" &&
        !request.complete())
    {
        http::response<http::empty_body> continue_response(
            http::status::continue_, 11);
        co_await http::async_write(socket_, continue_response,
                                   redirect_to(error));
    }
    if (!error && !request.complete())
    {
        const scoped_timeout timeout(context_.io, body_timeout, on_timeout);
        error = co_await request.read_rest();
    }
    if (!error)
    {
        co_return true;
    }
    request.discard_body();
    const auto status = read_timed_out_ ? http::status::request_timeout
                        : memory_.reclaimed()
                            ? http::status::service_unavailable
                            : response_status_for(error);
    if (status && !closed_)
    {
        co_await reject_unreadable(*status);
    }
    co_return false;
}

void caller_session::on_reclaim()
{
    const auto run = current_.lock();
    if (!run)
    {
        cancel_read();
        return;
    }
    // The bytes are those of further requests, which only a close discards.
    close();
    run->caller_left();
}

void caller_session::cancel_read()
{
    error_code ignored; // the pending read or wait reports the error
    socket_.cancel(ignored);
}

void caller_session::shrink_buffer()
{
    if (buffer_.size() == 0 && buffer_.capacity() > max_idle_buffer)
    {
        buffer_ = {};
    }
    memory_.resize(buffer_.capacity());
}

asio::awaitable<void> caller_session::reject_unreadable(http::status status)
{
    context_.record_unreadable_request(socket_, status);
    keep_alive_ = false;
    text_response response(status, 11);
    if (status == http::status::service_unavailable)
    {
        response.set(http::field::retry_after, "1");
    }
    co_await write_response(std::move(response));
}

asio::awaitable<void> caller_session::refuse_connection()
{
    keep_alive_ = false;
    text_response response(http::status::service_unavailable, 11);
    response.set(http::field::retry_after, "1");
    co_await write_response(std::move(response));
}

asio::awaitable<bool> caller_session::serve(text_request request,
                                            boot_clock::time_point arrival)
{
    auto run = std::make_shared<forward_run>(context_, *this,
                                             std::move(request), arrival);
    current_ = run;
    asio::co_spawn(
        context_.io,
        [self = shared_from_this(), run]
        { return self->watch_for_disconnect(run); },
        failure_log("disconnect watch"));
    co_await run->serve();
    current_.reset();
    error_code ignored; // ends watch_for_disconnect(), the only pending wait
    socket_.cancel(ignored);
    co_return announced_keep_alive_ && !closed_;
}

asio::awaitable<void>
caller_session::watch_for_disconnect(std::shared_ptr<forward_run> run)
{
    auto state = socket_read_state::nothing;
    while (state == socket_read_state::nothing)
    {
        error_code error;
        co_await socket_.async_wait(tcp::socket::wait_read, redirect_to(error));
        if (error || run->ended())
        {
            co_return;
        }
        state = peek_socket(socket_);
    }
    // Readable data is the caller's next request, which is read later.
    if (state == socket_read_state::bytes)
    {
        if (!memory_.resize(buffer_.capacity() + receive_buffer_bytes))
        {
            on_reclaim();
        }
    }
    else if (state == socket_read_state::closed)
    {
        run->caller_left();
    }
}

asio::awaitable<void> caller_session::linger_and_close()
{
    if (closed_)
    {
        co_return;
    }
    error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    const scoped_timeout timeout(context_.io, linger_timeout,
                                 [this] { close(); });
    std::array<char, 4096> ignored{};
    std::size_t discarded = buffer_.size();
    while (!error && !closed_)
    {
        discarded += co_await socket_.async_read_some(asio::buffer(ignored),
                                                      redirect_to(error));
    }
    if (discarded > 0)
    {
        log_end("Bytes discarded at the end of a connection.",
                std::to_string(discarded) + " bytes");
    }
    close();
}

void caller_session::log_end(std::string_view message,
                             const std::string& reason) const
{
    log_notice("caller", message,
               {{"reason", reason}, {"peer", peer_name(socket_)}});
}

template <class Message>
void caller_session::announce_keep_alive(Message& response)
{
    announced_keep_alive_ = keeps_open();
    response.keep_alive(announced_keep_alive_);
    const auto usable = std::chrono::floor<std::chrono::seconds>(
        context_.limits().idle_timeout - idle_announcement_margin);
    if (announced_keep_alive_ && usable.count() > 0)
    {
        response.set(http::field::keep_alive,
                     "timeout=" + std::to_string(usable.count()));
    }
}

bool caller_session::keeps_open() const
{
    return keep_alive_ && !closed_ && !context_.stopping;
}

void caller_session::close()
{
    closed_ = true;
    close_socket(socket_);
}

} // namespace mangolink
