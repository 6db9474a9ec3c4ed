#pragma once

#include "base/metrics.hpp"
#include "connection/admin_server.hpp"
#include "connection/backend_client.hpp"
#include "connection/command_queue.hpp"
#include "connection/peer_router.hpp"
#include "roles/agent_actions.hpp"
#include "roles/agent_core.hpp"
#include "roles/agent_settings.hpp"
#include "version/audit_trail.hpp"
#include "version/configuration_store.hpp"

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
struct http_response;

/// Runs an agent_core: serves entries over ZeroMQ and calls the backend server
/// over HTTP. One thread makes all decisions.
class agent_server final : private agent_actions
{
public:
    /// Starts serving immediately.
    explicit agent_server(agent_settings settings);
    ~agent_server() override;

    agent_server(const agent_server&) = delete;
    agent_server& operator=(const agent_server&) = delete;

    /// Rejects new work from now on. Thread-safe.
    void begin_drain();

    /// Returns whether a drain was requested, here, by the administration API
    /// or by the instance list.
    bool draining() const { return draining_; }

    /// Returns whether the agent is leaving and has finished its work.
    bool drained() const { return drained_; }

private:
    void send(const std::string& route, wire::envelope& message) override;
    void start_call(backend_call call) override;
    void cancel_call(call_id id) override;

    void run_loop();
    bool receive_messages();
    void publish_state();

    http_response status_response();
    void start_platform_reader();

    agent_settings settings_;
    incarnation incarnation_ = incarnation::random();
    audit_trail audit_trail_;
    metrics_registry metrics_;
    event_counter& calls_started_;
    event_counter& calls_ended_;
    configuration_store store_;
    agent_core core_;
    peer_router router_;
    backend_client backend_;
    command_queue commands_;
    std::string send_buffer_; ///< reused for serialized messages
    std::atomic<bool> draining_{false};
    std::atomic<bool> drained_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> running_{0};
    std::atomic<std::size_t> queued_{0};
    std::thread thread_;
    std::unique_ptr<platform_reader> platform_reader_;
    std::unique_ptr<admin_server> admin_server_;
};

} // namespace mangolink
