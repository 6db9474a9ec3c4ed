#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/backend_pool.hpp"
#include "connection/forward_protocol.hpp"
#include "request/attempt_policy.hpp"
#include "request/direct_balancer.hpp"
#include "request/stage_order.hpp"
#include "request/stage_plan.hpp"
#include "version/gateway_configuration.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

class backend_exchange;
class caller_channel;
struct gateway_context;

/// One request of a caller, from its check to its final answer.
///
/// Checks it against the configuration, has its stages made, and sends it to
/// a backend server, again where that is allowed. Used by one thread.
class forward_run final : public stage_client,
                          public std::enable_shared_from_this<forward_run>
{
public:
    forward_run(gateway_context& context, caller_channel& channel,
                text_request request, boot_clock::time_point arrival);
    ~forward_run() override;

    /// Serves the request; the caller has its final answer when it returns.
    asio::awaitable<void> serve();

    /// Ends all work, since nobody waits for it any more.
    void caller_left();

    /// Returns whether the final answer was given.
    bool ended() const { return ended_; }

    bool wants_pieces() const override;
    void piece_ended(stage_piece piece, stage_item_answer answer) override;

private:
    struct refusal final
    {
        http::status status = http::status::service_unavailable;
        std::string reason;
        milliseconds come_back{0}; ///< 0: not said
    };
    struct attempt final
    {
        std::shared_ptr<const backend_server> server;
        std::shared_ptr<backend_exchange> exchange;
        attempt_end end = attempt_end::unsent;
        std::string body;
        milliseconds first_byte{0};
        bool silent = false; ///< given up by time
    };

    std::optional<refusal> check();
    std::optional<refusal> check_customer();
    std::optional<refusal> check_capacity();
    void choose_service();
    asio::awaitable<bool> make_stages();
    void submit_ready();
    std::shared_ptr<stage_order> new_order(std::uint32_t stage);
    asio::awaitable<void> wait_for_event();
    asio::awaitable<void> send_until_answered();
    asio::awaitable<bool> prepare(attempt& current);
    asio::awaitable<void> exchange_once(attempt& current);
    asio::awaitable<void> read_whole(attempt& current);
    asio::awaitable<void> forward_stream(attempt& current);
    asio::awaitable<bool> pass_events(attempt& current, std::string& pending);
    bool is_stream(const attempt& current) const;
    void judge(const attempt& current);
    void finish_connection(attempt& current);
    text_request backend_request(const backend_server& server) const;
    void prefer_zone();
    server_wish wish() const;
    milliseconds time_left() const;
    milliseconds first_byte_limit() const;
    request_progress progress(const attempt& current) const;

    asio::awaitable<void> deliver(attempt& current);
    asio::awaitable<void> refuse(refusal why);
    asio::awaitable<void> fail(std::string reason);
    void cut(std::string reason);
    void end(unsigned status, std::string reason);
    void on_deadline();
    void release_results();

    gateway_context& context_;
    caller_channel& channel_;
    text_request request_;
    boot_clock::time_point arrival_;
    boot_clock::time_point deadline_;
    request_facts facts_;
    std::shared_ptr<const gateway_configuration> configuration_;
    const gateway_route* route_ = nullptr;
    const gateway_customer* customer_ = nullptr;
    std::string service_;
    std::optional<stage_plan> plan_;
    std::string preferred_zone_; ///< of the model engine
    asio::steady_timer wake_;
    std::optional<refusal> stage_refusal_;
    std::uint32_t stage_repeats_ = 0;
    std::uint32_t stage_reroutes_ = 0;
    bool restart_stages_ = false;
    milliseconds stage_time_{0};

    std::shared_ptr<backend_exchange> exchange_;
    std::vector<std::string> tried_;
    std::vector<std::string> history_; ///< one entry an attempt, for the log
    std::uint32_t sends_ = 0;
    std::uint32_t unsent_ = 0;
    bool may_have_run_ = false;
    bool answer_begun_ = false;
    std::uint64_t last_event_ = 0;
    bool caller_gone_ = false;
    bool timed_out_ = false;
    bool ended_ = false;
};

} // namespace mangolink
