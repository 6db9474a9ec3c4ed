#pragma once

#include "base/clock.hpp"
#include "base/incarnation.hpp"
#include "process/configuration_replicator.hpp"
#include "process/member_table.hpp"
#include "request/backend_selector.hpp"
#include "request/customer_limiter.hpp"
#include "request/retry_budget.hpp"
#include "request/run_executor.hpp"
#include "request/service_estimator.hpp"
#include "roles/entry_actions.hpp"

#include <absl/random/bit_gen_ref.h>

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink
{

class configuration_store;

/// Settings of entry_core and its components.
struct entry_core_settings final
{
    member_table_settings members;
    backend_selector_settings selector;
    run_executor_settings executor;
    milliseconds heartbeat_interval{2000};
    double retry_share = 0.1;    ///< retries per success
    double retry_reserve = 50.0; ///< maximum burst of retries
};

/// A new idempotency key, or the reason why none was issued.
struct issued_key final
{
    result_code code = result_code::complete;
    std::string key;
};

/// Logic of an entry: membership and heartbeats of its agents, execution of
/// requests, and replication of the configuration to and from agents.
///
/// Performs no I/O: events and the time are passed in, and the resulting
/// actions are requested through entry_actions. Not thread-safe.
class entry_core final : private run_actions
{
public:
    entry_core(entry_core_settings settings, incarnation own,
               configuration_store& store, absl::BitGenRef random,
               entry_actions& actions);

    /// Admits a request, or rejects it immediately.
    void start(run_request request, boot_clock::time_point now);

    /// Cancels a request whose caller disconnected.
    void caller_gone(const request_id& id, boot_clock::time_point now);

    /// Handles a message from an agent.
    void on_message(member_id from, wire::envelope& message,
                    boot_clock::time_point now);

    /// Applies the current configuration after the store accepted a new one.
    void configuration_changed();

    /// Marks the agents that the instance list shows as leaving.
    void mark_instances_leaving(const std::vector<std::string>& names);

    /// Handles expired deadlines, sends heartbeats and detects unresponsive
    /// agents.
    void on_time(boot_clock::time_point now);

    /// Returns the time of the next deadline or heartbeat.
    boot_clock::time_point next_time() const;

    /// Issues an idempotency key for a pipeline. Fails with a code if the
    /// pipeline has no non-idempotent stage or no usable backend server.
    issued_key issue_key(const pipeline& target,
                         std::chrono::system_clock::time_point wall,
                         boot_clock::time_point now);

    const member_table& members() const { return members_; }
    const backend_selector& selector() const { return selector_; }
    std::size_t requests() const { return executor_.size(); }

private:
    bool send(member_id to, wire::envelope& message) override;
    void deliver(const request_id& id, std::string_view text) override;
    void finish(const request_id& id, run_result result) override;

    void record_load(member_id from, const wire::envelope& message,
                     boot_clock::time_point now);
    void send_to_peer(const std::string& peer, wire::envelope& message);
    void send_heartbeats(boot_clock::time_point now);

    entry_core_settings settings_;
    incarnation own_;
    configuration_store& store_;
    absl::BitGenRef random_;
    entry_actions& actions_;
    configuration_replicator replicator_;
    member_table members_;
    backend_selector selector_;
    service_estimator estimator_;
    customer_limiter limiter_;
    retry_budget retries_;
    run_executor executor_;
    boot_clock::time_point next_heartbeat_;
};

} // namespace mangolink
