#pragma once

#include "base/clock.hpp"
#include "connection/accepted_request.hpp"
#include "connection/asio_types.hpp"
#include "connection/forward_attempt.hpp"
#include "connection/stream_forwarder.hpp"
#include "request/attempt_policy.hpp"
#include "request/direct_balancer.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

class backend_exchange;
class response_writer;
class request_stages;
struct gateway_context;

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

    /// Serves the request. Returns after the final answer was written.
    asio::awaitable<void> serve();

    /// Cancels all work after the caller closed the connection.
    void caller_left();

    /// Returns whether the request has ended.
    bool ended() const { return ended_; }

private:
    void prepare_stages();
    asio::awaitable<bool> run_stages();
    asio::awaitable<void> send_until_answered();
    asio::awaitable<bool> perform_step(next_step step, forward_attempt* last);
    asio::awaitable<std::unique_ptr<forward_attempt>> next_attempt();
    asio::awaitable<void> run_attempt(forward_attempt& attempt);
    next_step choose_next_step(const forward_attempt* last);
    text_request backend_request(const backend_server& server) const;
    server_preferences preferences() const;
    attempt_limits limits() const;
    bool may_send_elsewhere() const;
    milliseconds time_left() const;
    void stop_waiting();

    asio::awaitable<void> deliver(forward_attempt& attempt);
    asio::awaitable<void> refuse(refusal details);
    asio::awaitable<void> fail(std::string reason);
    asio::awaitable<void> write_own_answer(text_response response,
                                           std::string reason);
    void cut(const std::string& reason);
    void end(unsigned status, std::string reason);

    gateway_context& context_;
    response_writer& channel_;
    text_request request_;
    accepted_request accepted_;
    std::shared_ptr<request_stages> stages_;
    std::optional<stream_forwarder> stream_;

    std::shared_ptr<backend_exchange> exchange_; ///< in progress
    std::vector<std::string> tried_servers_;     ///< by id
    std::vector<std::string> attempt_log_;       ///< one entry per attempt
    std::uint32_t sends_ = 0;
    std::uint32_t unsent_ = 0;
    bool may_have_run_ = false;
    bool inputs_gone_ = false;
    bool caller_gone_ = false;
    bool timed_out_ = false;
    bool ended_ = false;
};

} // namespace mangolink
