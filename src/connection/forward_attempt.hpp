#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/attempt_limits.hpp"
#include "request/attempt_policy.hpp"
#include "request/direct_balancer.hpp"

#include <functional>
#include <memory>
#include <string>

namespace mangolink
{

class backend_exchange;
class stream_forwarder;
struct backend_server;

/// Sends a request to a backend server once and classifies the outcome. Used by
/// one thread.
class forward_attempt final
{
public:
    forward_attempt(asio::io_context& io,
                    std::shared_ptr<const backend_server> server,
                    std::shared_ptr<backend_exchange> exchange);

    /// Sends the request and reads the answer up to its first event, or
    /// completely if it is no stream. `answer_begun`: the caller has received
    /// a part of the answer, which only a stream can continue.
    asio::awaitable<void> start(attempt_limits limits, bool answer_begun);

    /// Reads a stream up to its first complete event.
    asio::awaitable<void> read_first_event(attempt_limits limits);

    /// Forwards the events of the stream as they arrive; `on_first_event` is
    /// called before the first complete one. A server may end inside an event,
    /// and the request is then sent again as if it had got none.
    asio::awaitable<void> forward_events(attempt_limits limits,
                                         stream_forwarder& stream,
                                         std::function<void()> on_first_event);

    /// Ends the attempt because another server answers in its place.
    void give_up();

    attempt_outcome end() const { return end_; }

    /// Returns whether the answer is a stream whose events are not read yet.
    bool streams() const { return streams_; }

    /// Returns whether the attempt has an answer for the caller.
    bool has_answer() const { return streams_ || completed(); }

    /// Returns whether the caller disconnected while events were forwarded.
    bool caller_gone() const { return caller_gone_; }

    /// Returns whether the server closed the connection before its answer was
    /// complete.
    bool ended_by_server() const;

    /// Returns whether the server gave a complete event or answer.
    bool has_output() const { return has_output_; }

    /// Returns whether the server completed an answer that is no failure.
    bool completed() const
    {
        return end_ == attempt_outcome::answered && !server_failure();
    }

    /// Returns what the server gave: "nothing", "head" or "output", which is a
    /// complete event or answer.
    const char* received() const;

    /// Returns how the connection ended, for the log.
    std::string connection_end() const;

    /// Returns whether the answer has a 5xx status.
    bool server_failure() const;

    /// Returns whether another server answered at the address.
    bool misdirected() const;

    /// Returns the status of a complete answer, or 0.
    unsigned status() const;

    /// Returns the outcome for the server statistics of the balancer.
    send_outcome outcome(bool cancelled) const;

    /// Returns a description for the log.
    std::string text() const;

    /// Returns the time since the request was sent.
    milliseconds time_since_send() const;

    milliseconds first_byte() const { return first_byte_; }
    std::string take_body() { return std::move(body_); }
    const std::shared_ptr<const backend_server>& server() const
    {
        return server_;
    }
    const std::shared_ptr<backend_exchange>& exchange() const
    {
        return exchange_;
    }

private:
    asio::awaitable<bool> read_head(const attempt_limits& limits);
    asio::awaitable<void> read_complete_body(bool answer_begun);
    bool is_stream() const;

    /// Returns whether a stream whose body has ended is complete: not if it
    /// ended inside an event, or without any if only the connection shows its
    /// end.
    bool is_whole() const;

    asio::io_context& io_;
    std::shared_ptr<const backend_server> server_;
    std::shared_ptr<backend_exchange> exchange_;
    attempt_outcome end_ = attempt_outcome::unsent;
    std::string body_;
    std::string pending_; ///< received events that are not forwarded yet
    boot_clock::time_point sent_at_; ///< once start() is called
    milliseconds first_byte_{0};
    milliseconds silence_{0}; ///< longest time between two events
    bool streams_ = false;
    bool has_head_ = false;
    bool has_output_ = false; ///< a complete event or answer
    bool timed_out_ = false;  ///< given up while the server was silent
    bool caller_gone_ = false;
};

} // namespace mangolink
