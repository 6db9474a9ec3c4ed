#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
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

/// Time limits of an attempt. The attempt ends at a limit only if the request
/// can be sent elsewhere; otherwise it goes on until the request ends.
struct attempt_limits final
{
    milliseconds first_byte{0};
    milliseconds between_events{0}; ///< between two complete events
    std::function<bool()> may_send_elsewhere;
};

/// Sends a request to a backend server once and classifies the outcome. Used by
/// one thread.
class forward_attempt final
{
public:
    forward_attempt(asio::io_context& io,
                    std::shared_ptr<const backend_server> server,
                    std::shared_ptr<backend_exchange> exchange);

    /// Sends the request and reads the answer. Stream events are forwarded as
    /// they arrive; `on_first_event` is called before the first one.
    asio::awaitable<void> run(attempt_limits limits, stream_forwarder& stream,
                              std::function<void()> on_first_event);

    attempt_outcome end() const { return end_; }

    /// Returns whether the caller disconnected while events were forwarded.
    bool caller_gone() const { return caller_gone_; }

    /// Returns whether the answer has a 5xx status.
    bool server_failure() const;

    /// Returns the status of a complete answer, or 0.
    unsigned status() const;

    /// Returns the outcome for the server statistics of the balancer.
    send_outcome outcome(bool cancelled) const;

    /// Returns a description for the log.
    std::string text() const;

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
    asio::awaitable<void> read_stream(const attempt_limits& limits,
                                      stream_forwarder& stream,
                                      const std::function<void()>& on_first);
    void end_at_limit(const attempt_limits& limits);
    bool is_stream() const;

    asio::io_context& io_;
    std::shared_ptr<const backend_server> server_;
    std::shared_ptr<backend_exchange> exchange_;
    attempt_outcome end_ = attempt_outcome::unsent;
    std::string body_;
    milliseconds first_byte_{0};
    milliseconds silence_{0}; ///< longest time between two events
    bool timed_out_ = false;  ///< aborted by a time limit
    bool caller_gone_ = false;
};

} // namespace mangolink
