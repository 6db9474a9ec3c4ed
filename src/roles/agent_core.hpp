#pragma once

#include "base/clock.hpp"
#include "base/hash.hpp"
#include "base/incarnation.hpp"
#include "process/agent_state.hpp"
#include "process/configuration_replicator.hpp"
#include "request/attempt_key.hpp"
#include "request/attempt_registry.hpp"
#include "request/backend_call.hpp"
#include "request/key_registry.hpp"
#include "request/service_estimator.hpp"
#include "request/work_queue.hpp"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace mangolink::wire
{
class cancel;
class envelope;
class heartbeat;
class load_report;
class submit;
} // namespace mangolink::wire

namespace mangolink
{

class agent_actions;
class configuration_store;

/// Limits of one agent.
struct agent_core_settings final
{
    std::string server;       ///< name of the backend server
    std::uint32_t limit = 32; ///< concurrent calls to the backend server
    std::uint32_t max_queue = 1000;
    std::size_t max_keys = 100'000;
    microseconds attempt_retention = std::chrono::minutes(10);
};

/// Current time of both clocks: the boot clock for time limits, the wall clock
/// for the expiry of idempotency keys.
struct agent_time final
{
    boot_clock::time_point now;
    std::chrono::system_clock::time_point wall;
};

/// Admits, queues and starts the calls of an agent's backend server.
///
/// Performs no I/O: events and the time are passed in, and the resulting
/// actions are requested through agent_actions. Not thread-safe.
class agent_core final
{
public:
    agent_core(agent_core_settings settings, incarnation own,
               configuration_store& store, agent_actions& actions);

    /// Handles a message from an entry.
    void on_message(const std::string& route, const wire::envelope& message,
                    agent_time time);

    /// Forwards a chunk of a streamed response to the entry.
    void on_call_data(call_id id, std::string text, std::uint32_t tokens,
                      boot_clock::time_point now);

    /// Reports the result of a call and starts queued calls.
    void on_call_ended(call_id id, const backend_answer& answer,
                       agent_time time);

    /// Refuses new work from now on and notifies the known entries.
    void begin_leaving();

    /// Returns whether no call is queued or running.
    bool drained() const { return calls_.empty(); }

    /// Removes expired attempts and idempotency keys.
    void on_time(agent_time time);

    agent_state state() const { return state_; }
    std::size_t running() const { return running_; }
    std::size_t queued() const { return queue_.size(); }

    /// Sends the configuration position to every entry known to be behind.
    void announce_configuration();

private:
    struct call_record final
    {
        std::string route;
        attempt_key key;
        backend_call call;
        std::string customer;
        microseconds expected_work{0};
        boot_clock::time_point received;
        boot_clock::time_point started;
        boot_clock::time_point deadline;
        bool running = false;
        bool first_byte_seen = false;
        std::uint32_t chunks = 0;
        running_digest digest;
    };

    struct admission final
    {
        result_code code = result_code::complete;
        microseconds retry_after{0};
    };

    void on_submit(const std::string& route, const wire::submit& message,
                   agent_time time);
    admission admit(const wire::submit& message, bool first_copy) const;
    bool claim_key(const std::string& route, const wire::submit& message,
                   const attempt_key& key, agent_time time);
    void enqueue(const std::string& route, const wire::submit& message,
                 const attempt_key& key, boot_clock::time_point now);
    void on_cancel(const std::string& route, const wire::cancel& message);
    void on_heartbeat(const std::string& route, const wire::heartbeat& message);
    void update_estimates(const call_record& record,
                          boot_clock::time_point now);
    void start_queued(boot_clock::time_point now);
    bool can_finish(const call_record& record,
                    boot_clock::time_point now) const;
    void refuse(const std::string& route, const attempt_key& key,
                admission reason);
    void refuse_call(call_id id, admission reason);
    void send_finished(const std::string& route, const attempt_key& key,
                       const backend_answer& answer, bool repeated,
                       const call_record* record, boot_clock::time_point now);
    void send(const std::string& route, wire::envelope& message);
    void report_load(wire::load_report& load) const;
    microseconds expected_queue_wait() const;

    agent_core_settings settings_;
    incarnation own_;
    agent_actions& actions_;
    configuration_replicator replicator_;
    agent_state state_ = agent_state::ready;
    work_queue queue_;
    attempt_registry attempts_;
    key_registry keys_;
    service_estimator estimator_;
    absl::flat_hash_map<call_id, call_record> calls_;
    absl::flat_hash_map<attempt_key, call_id> by_attempt_;
    std::uint64_t next_call_ = 1;
    std::size_t running_ = 0;
    microseconds running_work_{0};
    boot_clock::time_point next_expiry_;
};

} // namespace mangolink
