#pragma once

#include "base/clock.hpp"
#include "connection/accepted_request.hpp"
#include "connection/asio_types.hpp"
#include "connection/attempt_sender.hpp"
#include "connection/forward_attempt.hpp"
#include "connection/request_responder.hpp"
#include "connection/stream_forwarder.hpp"
#include "process/memory_account.hpp"
#include "request/attempt_policy.hpp"
#include "request/direct_balancer.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

class response_writer;
class request_stages;
class standby_attempt;
struct gateway_context;
struct request_end;

/// Handles one request of a caller up to its final answer.
///
/// Checks the request against the configuration, executes its stages and sends
/// it to a backend server, with retries where they are allowed. Used by one
/// thread.
class forward_run final : public std::enable_shared_from_this<forward_run>
{
public:
    forward_run(gateway_context& context, response_writer& channel,
                text_request request, boot_clock::time_point arrival);
    ~forward_run();

    forward_run(const forward_run&) = delete;
    forward_run& operator=(const forward_run&) = delete;

    /// Serves the request. Returns after the final answer was written, also if
    /// an exception ended the work.
    asio::awaitable<void> serve();

    /// Cancels all work after the caller closed the connection.
    void caller_left();

    /// Ends the request, as the process has no time left to complete it.
    void stop_limit_reached();

    /// Ends the request if it has not been sent and a part of its prompt is
    /// quarantined.
    void quarantine_changed();

    /// Returns whether the request has ended.
    bool ended() const { return responder_.ended(); }

private:
    using attempt_pointer = attempt_sender::attempt_pointer;

    asio::awaitable<void> process();
    std::shared_ptr<request_stages> make_stages();
    asio::awaitable<bool> run_stages();
    asio::awaitable<void> send_until_answered();
    asio::awaitable<bool> perform_step(next_step step, forward_attempt* last);
    asio::awaitable<void> run_attempt(forward_attempt& attempt);
    next_step choose_next_step(const forward_attempt* last);

    void start_standby();
    void stop_standby();
    asio::awaitable<attempt_pointer> send_standby(standby_attempt& standby);
    asio::awaitable<attempt_pointer>
    send_elsewhere(standby_attempt& standby,
                   std::shared_ptr<request_stages> stages);
    asio::awaitable<attempt_pointer> take_standby(const forward_attempt& last);

    attempt_limits limits();
    milliseconds time_left() const;
    void stop_waiting();
    void record_progress();
    bool is_quarantined() const;

    /// Returns why this process ended the request, or `otherwise`.
    std::string reason_of_end(std::string otherwise) const;

    /// Adds what was tried to the record of the request's end.
    void describe(request_end& end) const;
    http::status failure_status() const;

    gateway_context& context_;
    response_writer& channel_;
    text_request request_;
    memory_account memory_; ///< of the request
    accepted_request accepted_;
    request_responder responder_;
    std::shared_ptr<request_stages> stages_;
    std::optional<stream_forwarder> stream_;
    std::optional<attempt_sender> sender_;

    forward_attempt* current_ = nullptr;       ///< in progress
    std::shared_ptr<standby_attempt> standby_; ///< while the server is silent
    bool has_output_ = false;                  ///< from a server
    bool caller_gone_ = false;
    bool timed_out_ = false;
    bool stop_limit_reached_ = false;
};

} // namespace mangolink
