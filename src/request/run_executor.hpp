#pragma once

#include "base/clock.hpp"
#include "base/result_code.hpp"
#include "process/member.hpp"
#include "request/deadline_planner.hpp"
#include "request/pipeline_run.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>

namespace mangolink::wire
{
class attempt_ref;
class chunk;
class finished;
class refused;
} // namespace mangolink::wire

namespace mangolink
{

class backend_selector;
class customer_limiter;
class member_table;
class retry_budget;
class run_actions;
class service_estimator;

/// Limits of an executor.
struct run_executor_settings final
{
    std::uint32_t max_runs = 20'000;
    std::uint32_t max_attempts = 4; ///< per stage
    bool admission = true; ///< refuse requests that cannot meet their deadline
};

/// Collaborators of the executor. All must outlive it.
struct run_executor_dependencies final
{
    member_table& members;
    backend_selector& selector;
    service_estimator& estimator;
    customer_limiter& limiter;
    retry_budget& retries;
    run_actions& actions;
};

/// Runs requests through the stages of their pipelines.
///
/// A deterministic state machine: it receives events with the current time and
/// emits actions through run_actions. It uses no sockets, threads or timers of
/// its own. Not thread-safe.
class run_executor final
{
public:
    run_executor(run_executor_settings settings,
                 run_executor_dependencies dependencies);
    ~run_executor();

    /// Admits a request and dispatches its first stage, or refuses it.
    void start(run_request request, boot_clock::time_point now);

    /// Handle answers of agents. Answers of an incarnation other than the
    /// addressed one are ignored.
    void on_chunk(member_id from, incarnation sender, wire::chunk& message);
    void on_finished(member_id from, incarnation sender,
                     wire::finished& message, boot_clock::time_point now);
    void on_refused(member_id from, incarnation sender,
                    const wire::refused& message, boot_clock::time_point now);

    /// Marks the pending attempts at a member as lost, because its process is
    /// gone or unresponsive.
    void on_member_lost(member_id lost_member, boot_clock::time_point now);

    /// Cancels a request whose caller has disconnected.
    void on_caller_gone(const request_id& id, boot_clock::time_point now);

    /// Ends requests whose deadline has passed.
    void on_time(boot_clock::time_point now);

    /// Returns the next deadline, or time_point::max() when there is none.
    boot_clock::time_point next_deadline() const;

    /// Returns the number of requests in flight.
    std::size_t size() const { return runs_.size(); }

private:
    using run_pointer = std::unique_ptr<pipeline_run>;

    struct found_attempt final
    {
        pipeline_run* run = nullptr;
        stage_attempt* attempt = nullptr;
    };

    time_verdict admit(const pipeline_run& run, boot_clock::time_point now);

    void begin_stage(pipeline_run& run, boot_clock::time_point now);
    void dispatch(pipeline_run& run, boot_clock::time_point now);
    time_verdict choose_member(const pipeline_run& run,
                               boot_clock::time_point now, member_id& chosen);
    void send_attempt(pipeline_run& run, member_id receiver,
                      microseconds budget, boot_clock::time_point now);
    void retry_or_end(pipeline_run& run, result_code code, bool proven_not_run,
                      boot_clock::time_point now);
    bool may_retry(const pipeline_run& run, bool proven_not_run);
    void stage_answered(pipeline_run& run, stage_attempt& attempt,
                        wire::finished& message, boot_clock::time_point now);
    void complete_stage(pipeline_run& run, boot_clock::time_point now);
    void end(pipeline_run& run, time_verdict verdict);
    void cancel_pending(pipeline_run& run);
    void set_state(stage_attempt& attempt, attempt_state state);
    found_attempt find(member_id from, incarnation sender,
                       const wire::attempt_ref& ref);

    run_executor_settings settings_;
    run_executor_dependencies dependencies_;
    deadline_planner planner_;
    absl::flat_hash_map<request_id, run_pointer> runs_;
    absl::btree_set<std::pair<boot_clock::time_point, request_id>> deadlines_;
};

} // namespace mangolink
