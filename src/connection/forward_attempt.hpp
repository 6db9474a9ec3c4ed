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

/// How long parts of an attempt may take.
struct attempt_limits final
{
    milliseconds first_byte{0};
    milliseconds between_events{0};
};

/// One send of a request to a backend server, and the judgement of what came
/// back. Used by one thread.
class forward_attempt final
{
public:
    forward_attempt(asio::io_context& io,
                    std::shared_ptr<const backend_server> server,
                    std::shared_ptr<backend_exchange> exchange);

    /// Sends the request and reads the answer. Events of a stream go to the
    /// forwarder as they come; `on_first_event` is called before the first.
    asio::awaitable<void> run(attempt_limits limits, stream_forwarder& stream,
                              std::function<void()> on_first_event);

    attempt_outcome end() const { return end_; }

    /// Returns whether the caller left while events were passed on.
    bool caller_gone() const { return caller_gone_; }

    /// Returns whether the answer tells of a failure of the server.
    bool server_failure() const;

    /// Returns the status of a whole answer, or 0.
    unsigned status() const;

    /// Returns what the attempt says of the server.
    send_outcome outcome(bool cancelled) const;

    /// Returns one line for the log.
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
    asio::awaitable<bool> read_head(milliseconds limit);
    asio::awaitable<void> read_whole(bool answer_begun);
    asio::awaitable<void> read_stream(milliseconds limit,
                                      stream_forwarder& stream,
                                      const std::function<void()>& on_first);
    bool is_stream() const;

    asio::io_context& io_;
    std::shared_ptr<const backend_server> server_;
    std::shared_ptr<backend_exchange> exchange_;
    attempt_outcome end_ = attempt_outcome::unsent;
    std::string body_;
    milliseconds first_byte_{0};
    bool timed_out_ = false; ///< given up by time
    bool caller_gone_ = false;
};

} // namespace mangolink
