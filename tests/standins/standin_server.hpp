#pragma once

#include "base/clock.hpp"
#include "base/socket_address.hpp"
#include "connection/abortable_io_context.hpp"
#include "connection/asio_types.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mangolink::test
{

/// How a stand-in ends an answer.
enum class answer_end : std::uint8_t
{
    complete,
    closed,      ///< the connection is closed after the bytes
    reset,       ///< the connection is reset after the bytes
    unresponsive ///< nothing more is ever sent
};

/// Bytes of an answer that are sent together after a pause.
struct answer_part final
{
    std::string bytes;
    milliseconds pause{0};
};

/// Bytes generated while an answer is being sent, after its parts. Used on the
/// thread of the stand-in.
class body_stream final
{
public:
    /// `on_peer_closed` is called if the peer disconnects before the end.
    body_stream(asio::io_context& io, std::function<void()> on_peer_closed);

    void push(const std::string& bytes);
    void finish();

    /// Returns the bytes pushed since the last call, and waits if there are
    /// none. Returns an empty string at the end.
    asio::awaitable<std::string> next();

    /// Calls the handler for a disconnected peer.
    void notify_peer_closed() { on_peer_closed_(); }

private:
    std::string bytes_;
    bool finished_ = false;
    asio::steady_timer data_available_;
    std::function<void()> on_peer_closed_;
};

/// Answer of a stand-in to a request. Its parts are sent verbatim.
struct scripted_answer final
{
    std::vector<answer_part> parts;
    std::shared_ptr<body_stream> stream; ///< null if nothing follows the parts
    answer_end end = answer_end::complete;
    bool close_after = false; ///< closes the connection after a complete answer

    /// Returns a complete answer; each header has the form "Name: value".
    static scripted_answer of(unsigned status, const std::string& body,
                              const std::vector<std::string>& headers = {});
};

/// HTTP server on loopback that sends scripted answers on its own thread.
class standin_server final
{
public:
    using reply = std::function<void(scripted_answer)>;
    /// Handles a request by calling reply, now or later, on the thread of the
    /// server.
    using handler = std::function<void(const text_request&, reply)>;

    explicit standin_server(handler handle);
    ~standin_server();

    standin_server(const standin_server&) = delete;
    standin_server& operator=(const standin_server&) = delete;

    const socket_address& address() const { return address_; }

    /// Runs a function on the thread of the server after a delay.
    void post(std::function<void()> work, milliseconds after = {});

    /// Returns the context for the timers of body_stream.
    asio::io_context& context() { return io_; }

    /// Returns the number of connections closed by their peers while the answer
    /// was withheld.
    std::size_t abandoned() const { return abandoned_; }

    /// Returns the number of bytes of answers sent.
    std::uint64_t sent_bytes() const { return sent_bytes_; }

    /// Stops the thread; later requests get no answer.
    void stop();

    /// Refuses new connections and closes the open ones; the port stays bound.
    /// Returns when that is in force. Not called on the thread of the server.
    void set_unreachable(bool unreachable);

    /// Like set_unreachable(true), called on the thread of the server.
    void crash();

    /// Neither reads, writes nor accepts for a time; open connections stay
    /// open. Returns when that is in force. Not called on the thread of the
    /// server.
    void fall_silent(milliseconds time);

private:
    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket);
    static asio::awaitable<bool> send_stream(tcp::socket& socket,
                                             body_stream& stream);
    asio::awaitable<bool> send(std::shared_ptr<tcp::socket> socket,
                               scripted_answer answer);

    abortable_io_context io_{1};
    handler handle_;
    tcp::acceptor acceptor_;
    socket_address address_;
    std::vector<std::weak_ptr<tcp::socket>> connections_;
    bool unreachable_ = false;
    std::atomic<std::size_t> abandoned_{0};
    std::atomic<std::uint64_t> sent_bytes_{0};
    std::thread thread_;
};

} // namespace mangolink::test
