#pragma once

#include "base/metrics.hpp"
#include "connection/admin_responses.hpp"
#include "connection/admin_server.hpp"
#include "connection/caller_api.hpp"
#include "connection/command_queue.hpp"
#include "connection/http_server.hpp"
#include "connection/peer_router.hpp"
#include "roles/entry_core.hpp"
#include "roles/entry_settings.hpp"
#include "version/audit_trail.hpp"
#include "version/configuration_store.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/random/random.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mangolink
{

class http_exchange;
class platform_reader;

/// Runs an entry_core: serves callers over HTTP and talks to agents over
/// ZeroMQ. One thread makes all decisions.
class entry_server final : private entry_actions
{
public:
    /// Starts serving immediately.
    explicit entry_server(entry_settings settings);
    ~entry_server() override;

    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    /// Rejects new requests from now on. Thread-safe.
    void begin_drain() { draining_ = true; }

    /// Returns whether a drain was requested, here or by the administration
    /// API.
    bool draining() const { return draining_; }

    /// Returns whether all requests in flight have ended.
    bool drained() const;

private:
    struct open_request final
    {
        std::shared_ptr<http_exchange> exchange;
        std::string pipeline;
        boot_clock::time_point received;
        bool streamed = false;
        bool stream_begun = false;
        std::string buffered_events; ///< events for the next flush
    };

    bool send(member_id to, wire::envelope& message) override;
    void deliver(const request_id& id, std::string_view text) override;
    void finish(const request_id& id, run_result result) override;
    void connect(member_id id, const std::string& address) override;
    void disconnect(member_id id, const std::string& address) override;

    void on_request(const std::shared_ptr<http_exchange>& exchange);
    void start_request(const std::shared_ptr<http_exchange>& exchange,
                       run_request request, boot_clock::time_point received);
    void issue_key(const std::shared_ptr<http_exchange>& exchange,
                   const key_request& wanted);
    void reject_request(const std::shared_ptr<http_exchange>& exchange,
                        const request_id& id, const request_error& error);
    void count_result(const open_request& open, const run_result& result);
    static void log_result(const request_id& id, const open_request& open,
                           const run_result& result);

    void run_loop();
    void receive_messages();
    void flush_streams(boot_clock::time_point now);
    void flush_events(open_request& open);
    milliseconds poll_timeout(boot_clock::time_point now) const;

    std::vector<admin_route> admin_routes();
    http_response status_response();
    http_response members_response();
    http_response customers_response();
    http_response explain_response(const std::string& pipeline_name);
    void start_platform_reader();

    entry_settings settings_;
    incarnation incarnation_ = incarnation::random();
    audit_trail audit_trail_;
    metrics_registry metrics_;
    duration_histogram& first_token_;
    duration_histogram& refusal_time_;
    configuration_store store_;
    absl::BitGen random_; ///< used by the core's thread only
    entry_core core_;
    caller_api api_;
    peer_router router_;
    command_queue commands_;
    absl::flat_hash_map<request_id, open_request> open_requests_;
    absl::flat_hash_map<std::uint32_t, std::string> routes_;
    std::vector<request_id>
        requests_to_flush_; ///< requests with buffered events
    boot_clock::time_point last_flush_;
    std::string send_buffer_; ///< reused for serialized messages
    std::atomic<std::size_t> in_flight_{0};
    std::atomic<bool> draining_{false};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
    std::unique_ptr<platform_reader> platform_reader_;
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<admin_server> admin_server_;
};

} // namespace mangolink
