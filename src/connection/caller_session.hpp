#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/message_reader.hpp"
#include "connection/response_writer.hpp"
#include "process/memory_account.hpp"

#include <memory>

namespace mangolink
{

class forward_run;
struct gateway_context;

/// HTTP connection of a caller: reads requests sequentially and writes their
/// responses. Used by one thread.
class caller_session final : public response_writer,
                             public std::enable_shared_from_this<caller_session>
{
public:
    /// `refused`: the process has too many connections; the first request is
    /// refused and the connection closed.
    caller_session(gateway_context& context, tcp::socket socket, bool refused);
    ~caller_session() override;

    /// Serves the connection until it is closed.
    asio::awaitable<void> run();

    asio::awaitable<bool> write_response(text_response response) override;
    asio::awaitable<bool> begin_stream(http::response_header<> head) override;
    asio::awaitable<bool> send(std::string_view part) override;
    asio::awaitable<bool> end_stream() override;
    void cut() override;

private:
    asio::awaitable<bool> wait_for_request();
    asio::awaitable<bool> read_request(request_reader& request);
    void on_reclaim();
    void cancel_read();
    void shrink_buffer();
    asio::awaitable<void> reject_unreadable(http::status status);
    asio::awaitable<void> refuse_connection();
    asio::awaitable<bool> serve(text_request request,
                                boot_clock::time_point arrival);
    asio::awaitable<void>
    watch_for_disconnect(std::shared_ptr<forward_run> run);
    asio::awaitable<void> linger_and_close();
    /// Sets the headers that tell the caller whether and for how long it can
    /// use the connection.
    template <class Message>
    void announce_keep_alive(Message& response);
    bool keeps_open() const;

    /// Closes the connection after a failed write. Returns whether it
    /// succeeded.
    bool written(const error_code& error);
    void log_end(std::string_view message, const std::string& reason) const;
    void close();

    gateway_context& context_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    memory_account memory_; ///< of the buffer and of a request being read
    std::weak_ptr<forward_run> current_; ///< request in progress
    bool refused_;
    bool keep_alive_ = true;
    bool announced_keep_alive_ = false; ///< by the current response
    bool chunked_ = true;
    bool closed_ = false;
    bool read_timed_out_ = false;
};

} // namespace mangolink
