#include "standins/standin_server.hpp"

#include "connection/listening_socket.hpp"
#include "connection/socket_state.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <sys/socket.h>

#include <future>

namespace mangolink::test
{
namespace
{

/// Returns whether a request was received that is not HTTP.
bool is_malformed(const error_code& error)
{
    const error_code ended = http::error::end_of_stream;
    return error.category() == ended.category() && error != ended &&
           error != http::error::partial_message;
}

} // namespace

scripted_answer scripted_answer::of(unsigned status, const std::string& body,
                                    const std::vector<std::string>& headers)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& header : headers)
    {
        bytes += header + "\r\n";
    }
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    bytes += body;
    scripted_answer answer;
    answer.parts.push_back({bytes, {}});
    return answer;
}

body_stream::body_stream(asio::io_context& io,
                         std::function<void()> on_peer_closed)
    : data_available_(io, asio::steady_timer::time_point::max()),
      on_peer_closed_(std::move(on_peer_closed))
{
}

void body_stream::push(const std::string& bytes)
{
    bytes_ += bytes;
    data_available_.cancel();
}

void body_stream::finish()
{
    finished_ = true;
    data_available_.cancel();
}

asio::awaitable<std::string> body_stream::next()
{
    while (bytes_.empty() && !finished_)
    {
        error_code ignored; // the wait is cancelled when data arrives
        co_await data_available_.async_wait(redirect_to(ignored));
    }
    co_return std::exchange(bytes_, {});
}

standin_server::standin_server(handler handle)
    : handle_(std::move(handle)),
      acceptor_(open_listening_socket(io_, socket_address{"127.0.0.1", 0})),
      address_{"127.0.0.1", acceptor_.local_endpoint().port()}
{
    asio::co_spawn(io_, accept_loop(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
}

standin_server::~standin_server()
{
    stop();
    io_.destroy_pending_handlers();
}

void standin_server::stop()
{
    io_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void standin_server::post(std::function<void()> work, milliseconds after)
{
    asio::post(
        io_,
        [this, work = std::move(work), after]
        {
            auto timer = std::make_shared<asio::steady_timer>(io_, after);
            timer->async_wait([timer, work](const error_code&) { work(); });
        });
}

void standin_server::set_unreachable(bool unreachable)
{
    std::promise<void> done;
    post(
        [this, unreachable, &done]
        {
            if (unreachable)
            {
                crash();
            }
            unreachable_ = unreachable;
            done.set_value();
        });
    done.get_future().wait();
}

void standin_server::crash()
{
    unreachable_ = true;
    for (const auto& weak : connections_)
    {
        if (const auto socket = weak.lock())
        {
            close_socket(*socket);
        }
    }
    connections_.clear();
}

void standin_server::fall_silent(milliseconds time)
{
    std::promise<void> silent;
    post(
        [this, time, &silent]
        {
            // With a full accept queue the kernel drops further connects.
            (void)::listen(acceptor_.native_handle(), 0);
            tcp::socket filler(io_);
            filler.connect(acceptor_.local_endpoint());
            silent.set_value();
            std::this_thread::sleep_for(time);
            (void)::listen(acceptor_.native_handle(), SOMAXCONN);
        });
    silent.get_future().wait();
}

asio::awaitable<void> standin_server::accept_loop()
{
    while (true)
    {
        auto socket = std::make_shared<tcp::socket>(io_);
        error_code error;
        co_await acceptor_.async_accept(*socket, redirect_to(error));
        if (error || unreachable_)
        {
            continue;
        }
        connections_.push_back(socket);
        asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> standin_server::serve(std::shared_ptr<tcp::socket> socket)
{
    boost::beast::flat_buffer buffer;
    while (true)
    {
        http::request_parser<http::string_body> parser;
        constexpr std::uint64_t max_body_bytes = 16 * 1024 * 1024;
        parser.body_limit(max_body_bytes);
        error_code error;
        co_await http::async_read(*socket, buffer, parser, redirect_to(error));
        if (is_malformed(error))
        {
            co_await send(socket, scripted_answer::of(400, ""));
            close_socket(*socket);
            co_return;
        }
        if (error)
        {
            co_return;
        }
        const auto answered = std::make_shared<asio::steady_timer>(
            io_, asio::steady_timer::time_point::max());
        const auto answer = std::make_shared<std::optional<scripted_answer>>();
        const text_request request = parser.release();
        handle_(request,
                [answered, answer](scripted_answer given)
                {
                    *answer = std::move(given);
                    answered->cancel();
                });
        if (!*answer)
        {
            co_await answered->async_wait(redirect_to(error));
        }
        if (!*answer)
        {
            co_return;
        }
        scripted_answer script = std::move(**answer);
        if (!co_await send(socket, std::move(script)))
        {
            co_return;
        }
    }
}

asio::awaitable<bool> standin_server::send_stream(tcp::socket& socket,
                                                  body_stream& stream)
{
    while (true)
    {
        const std::string bytes = co_await stream.next();
        if (bytes.empty())
        {
            co_return true;
        }
        error_code error;
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   redirect_to(error));
        if (error)
        {
            stream.notify_peer_closed();
            co_return false;
        }
    }
}

asio::awaitable<bool> standin_server::send(std::shared_ptr<tcp::socket> socket,
                                           scripted_answer answer)
{
    for (const auto& part : answer.parts)
    {
        if (part.pause > milliseconds(0))
        {
            co_await pause(io_, part.pause);
        }
        error_code error;
        sent_bytes_ += co_await asio::async_write(
            *socket, asio::buffer(part.bytes), redirect_to(error));
        if (error)
        {
            co_return false;
        }
    }
    if (answer.stream && !co_await send_stream(*socket, *answer.stream))
    {
        co_return false;
    }
    if (answer.end == answer_end::unresponsive)
    {
        // Keeps the connection open until the peer or the test closes it.
        error_code ignored;
        std::array<char, 64> bytes{};
        while (!ignored)
        {
            co_await socket->async_read_some(asio::buffer(bytes),
                                             redirect_to(ignored));
        }
        ++abandoned_;
        co_return false;
    }
    if (answer.end == answer_end::reset)
    {
        error_code ignored; // the connection closes in any case
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (answer.end != answer_end::complete || answer.close_after)
    {
        close_socket(*socket);
        co_return false;
    }
    co_return true;
}

} // namespace mangolink::test
