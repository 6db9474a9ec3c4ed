#pragma once

#include "base/clock.hpp"
#include "request/backend_call.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>

namespace mangolink
{

/// Call that is queued at the agent.
struct queued_work final
{
    call_id id{};
    std::string customer;
    std::uint32_t weight = 1;
    std::uint32_t priority = 5;
    microseconds work{0};
    boot_clock::time_point deadline;
};

/// Start-time fair queue over customers, weighted by their shares. Calls of the
/// same customer are ordered by priority, then by deadline. Used only on the
/// thread of the agent's core.
class work_queue final
{
public:
    void push(queued_work item);

    /// Removes and returns the next call, or nullopt if the queue is empty.
    std::optional<queued_work> pop();

    /// Removes a call. Returns false if it is not queued.
    bool remove(call_id id);

    std::size_t size() const { return items_.size(); }

    /// Returns the total expected work of the queued calls.
    microseconds total_work() const { return total_work_; }

private:
    struct rank final
    {
        std::uint32_t priority;
        boot_clock::time_point deadline;
        call_id id;

        friend auto operator<=>(const rank&, const rank&) = default;
    };

    struct flow final
    {
        absl::btree_set<rank> waiting;
        double start_tag = 0; ///< virtual start time of its next call
    };

    using active_flow = std::pair<double, std::string>;

    static rank rank_of(const queued_work& item);
    void forget_idle_flows();

    absl::flat_hash_map<call_id, queued_work> items_;
    absl::flat_hash_map<std::string, flow> flows_;
    absl::btree_set<active_flow> active_;
    double virtual_time_ = 0;
    microseconds total_work_{0};
};

} // namespace mangolink
