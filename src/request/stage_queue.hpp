#pragma once

#include "base/clock.hpp"
#include "request/result_memory.hpp"
#include "request/stage_backlog.hpp"
#include "version/gateway_service.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mangolink
{

/// How a call of a stage server ended.
enum class call_outcome : std::uint8_t
{
    answered,
    shed,  ///< rejected by the server for lack of capacity
    lost,  ///< no answer, or an unreadable one
    silent ///< not accepted in time, and no other server could be used
};

/// Load of a stage server as reported to the other gateways.
struct server_load_report final
{
    std::uint32_t item_count = 0; ///< number of items queued for its calls
    milliseconds busy{0};         ///< until the running call is expected to end
    double slowdown = 1; ///< smoothed ratio of measured to nominal call time
    milliseconds ejected_for{0};  ///< receives no calls for this long
    std::uint64_t free_bytes = 0; ///< of the memory for results
    /// Time that work takes on the server's shared machine, relative to the
    /// usual time, as last told; nothing: the server does not tell.
    std::optional<double> work_factor = std::nullopt;
};

/// Batches the items of many requests into calls of one stage server.
///
/// Each call has a fixed cost regardless of its size. The number of concurrent
/// calls is therefore limited, and the next call contains the items that
/// arrived in the meantime. Under load, items that can still meet their due
/// time are sent first, earliest due time first; remaining slots are filled
/// with late items. An item is sent only if there is free memory for its
/// result.
///
/// Queues with the same backlog share their waiting items: each item goes to
/// the first server that can make a call and has memory for its result, so that
/// none waits behind a slow or full server while another one idles. Not
/// thread-safe.
class stage_queue final
{
public:
    /// @param backlog  Waiting items of the server, or of its group.
    explicit stage_queue(const stage_pool_parameters& parameters,
                         std::shared_ptr<stage_backlog> backlog =
                             std::make_shared<stage_backlog>());

    void configure(const stage_pool_parameters& parameters);

    void add(const std::shared_ptr<const stage_task>& task);

    /// Removes the items of the next call from the queue, reserves memory for
    /// their results and counts the call as running. Returns an empty vector
    /// when no call should be made now.
    std::vector<waiting_item> begin_call(boot_clock::time_point now);

    /// Returns whether the server could begin a call if there were items.
    bool can_begin_call(boot_clock::time_point now) const;

    /// Removes and returns the items that cannot be processed before their
    /// deadline or whose client no longer waits. While at least a full batch of
    /// items for each server is still in time, late items of requests with
    /// further stages to run are removed too. If the backlog limits late items,
    /// those beyond the next call of each server are removed as well, so that
    /// they do not hold inputs that block the stages before.
    std::vector<waiting_item> remove_expired(boot_clock::time_point now);

    /// Removes and returns all queued items.
    std::vector<waiting_item> remove_all()
    {
        return std::exchange(backlog_->items, {});
    }

    const std::shared_ptr<stage_backlog>& backlog() const { return backlog_; }

    /// Shares a backlog from now on; the own waiting items are added to it.
    void join_backlog(std::shared_ptr<stage_backlog> backlog);

    /// Stops sharing waiting items; those of the backlog stay with the others.
    void leave_backlog() { backlog_ = std::make_shared<stage_backlog>(); }

    /// Returns whether both servers' waiting items are the same.
    bool shares_backlog_with(const stage_queue& other) const
    {
        return backlog_ == other.backlog_;
    }

    /// Returns whether items wait for a call.
    bool has_waiting_items() const { return !backlog_->items.empty(); }

    /// Records the end of a call: releases the memory reserved for its results,
    /// and updates the slowdown or ejects the server. A silent server is not
    /// ejected.
    void call_ended(std::size_t item_count, std::uint64_t reserved_bytes,
                    milliseconds took, call_outcome outcome,
                    boot_clock::time_point now);

    /// Returns how long a call with this many items may take before another
    /// server is used instead.
    milliseconds call_timeout(std::size_t item_count) const;

    /// Records what the server told of its shared machine.
    void record_work_factor(double factor) { work_factor_ = factor; }

    server_load_report load_report(boot_clock::time_point now);

    result_memory& memory() { return memory_; }
    bool busy() const { return calls_ > 0 || has_waiting_items(); }

private:
    milliseconds nominal_duration(std::size_t item_count) const;
    milliseconds expected_duration(std::size_t item_count) const;
    std::size_t server_count() const;
    void remove_late_excess(boot_clock::time_point now,
                            std::vector<waiting_item>& removed);

    stage_pool_parameters parameters_;
    result_memory memory_;
    std::shared_ptr<stage_backlog> backlog_; ///< held by its queues alone
    std::uint32_t calls_ = 0;
    boot_clock::time_point busy_until_;
    boot_clock::time_point ejected_until_;
    double slowdown_ = 1;
    std::optional<double> work_factor_;
};

} // namespace mangolink
