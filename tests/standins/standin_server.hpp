#pragma once

#include "base/clock.hpp"
#include "base/socket_address.hpp"
#include "connection/asio_types.hpp"
#include "connection/closing_context.hpp"

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

/// Bytes of an answer that go out together after a pause.
struct answer_part final
{
    std::string bytes;
    milliseconds pause{0};
};

/// Bytes that follow an answer's parts as they come to be. Used on the
/// stand-in's thread.
class body_stream final
{
public:
    /// `left` is called when the peer is gone before the end.
    body_stream(asio::io_context& io, std::function<void()> on_peer_closed);

    void push(const std::string& bytes);
    void finish();

    /// Returns all that was pushed since the last call; waits for more.
    /// Empty at the end.
    asio::awaitable<std::string> next();

    /// Tells that the peer is gone.
    void notify_peer_closed() { on_peer_closed_(); }

private:
    std::string bytes_;
    bool finished_ = false;
    asio::steady_timer data_available_;
    std::function<void()> on_peer_closed_;
};

/// What a stand-in does with a request; parts are sent as they are.
struct scripted_answer final
{
    std::vector<answer_part> parts;
    std::shared_ptr<body_stream> stream; ///< null: the parts are all
    answer_end end = answer_end::complete;
    bool close_after = false; ///< ends the connection after a whole answer

    /// Returns a whole answer with a body and headers ("Name: value" each).
    static scripted_answer of(unsigned status, const std::string& body,
                              const std::vector<std::string>& headers = {});
};

/// HTTP server on loopback that answers from a script, on a thread of its own.
class standin_server final
{
public:
    using reply = std::function<void(scripted_answer)>;
    /// Handles a request now or later by calling reply on the server's thread.
    using handler = std::function<void(const text_request&, reply)>;

    explicit standin_server(handler handle);
    ~standin_server();

    standin_server(const standin_server&) = delete;
    standin_server& operator=(const standin_server&) = delete;

    const socket_address& address() const { return address_; }

    /// Runs a function on the server's thread, after a time.
    void post(std::function<void()> work, milliseconds after = {});

    /// Returns where answers that come to be by and by wait.
    asio::io_context& context() { return io_; }

    /// Returns how many connections their peers closed while an answer was
    /// being held back.
    std::size_t abandoned() const { return abandoned_; }

    /// Ends the thread; nothing is answered any more.
    void stop();

    /// Stops to accept and closes every connection; the port stays taken.
    void set_unreachable(bool unreachable);

private:
    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket);
    static asio::awaitable<bool> send_stream(tcp::socket& socket,
                                             body_stream& stream);
    asio::awaitable<bool> send(std::shared_ptr<tcp::socket> socket,
                               scripted_answer answer);

    closing_context io_{1};
    handler handle_;
    tcp::acceptor acceptor_;
    socket_address address_;
    std::vector<std::weak_ptr<tcp::socket>> connections_;
    bool unreachable_ = false;
    std::atomic<std::size_t> abandoned_{0};
    std::thread thread_;
};

} // namespace mangolink::test
