#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"

#include <functional>
#include <memory>

namespace mangolink
{

class backend_exchange;
class forward_attempt;
class request_stages;

/// Second attempt of a request, made while the server of the first one is
/// silent. The first attempt goes on until an answer of the second has begun,
/// so that a failure of the second costs the caller nothing. Used by one
/// thread.
class standby_attempt final
    : public std::enable_shared_from_this<standby_attempt>
{
public:
    using attempt_pointer = std::unique_ptr<forward_attempt>;

    /// Sends the request elsewhere. Returns an attempt whose answer has begun,
    /// or null. Registers what stop() must abort with the hold functions.
    using send_function =
        std::function<asio::awaitable<attempt_pointer>(standby_attempt&)>;

    /// `on_ready` is called when an answer has begun.
    standby_attempt(asio::io_context& io, send_function send,
                    std::function<void()> on_ready);
    ~standby_attempt();

    /// Sends the request, again after a pause if that fails.
    void start();

    /// Aborts the work; result() returns null unless an answer has begun.
    void stop();

    /// Waits for the send in progress. Returns the attempt whose answer has
    /// begun, or null.
    asio::awaitable<attempt_pointer> result();

    /// Returns the attempt whose answer has begun, or null.
    attempt_pointer take();

    /// Returns whether an answer has begun.
    bool ready() const { return attempt_ != nullptr; }
    bool stopped() const { return stopped_; }

    void hold(std::shared_ptr<request_stages> stages);
    void hold(std::shared_ptr<backend_exchange> exchange);

    /// Returns the stages of the attempt; null if it uses those of the request.
    const std::shared_ptr<request_stages>& stages() const { return stages_; }

private:
    asio::awaitable<void> run();

    asio::io_context& io_;
    send_function send_;
    std::function<void()> on_ready_;
    asio::steady_timer retry_delay_;
    asio::steady_timer finished_;
    std::shared_ptr<request_stages> stages_;
    std::shared_ptr<backend_exchange> exchange_;
    attempt_pointer attempt_;
    bool stopped_ = false;
    bool last_try_ = false;
    bool running_ = false;
};

} // namespace mangolink
