#pragma once

#include "base/clock.hpp"
#include "request/result_memory.hpp"
#include "request/stage_task.hpp"
#include "version/gateway_service.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mangolink
{

/// Piece that waits for a call.
struct waiting_item final
{
    std::shared_ptr<const stage_task> task;
    std::uint32_t index = 0;
};

/// How a call of a stage server ended.
enum class call_outcome : std::uint8_t
{
    answered,
    shed, ///< it had no room for the call
    lost  ///< no answer, or one that can't be read
};

/// What others may expect of a stage server.
struct server_load_report final
{
    std::uint32_t pieces = 0;    ///< waiting for a call
    milliseconds busy{0};        ///< until the running call should end
    double slowdown = 1;         ///< time taken over time expected, smoothed
    milliseconds ejected_for{0}; ///< the server failed; not used for this long
    std::uint64_t free_bytes = 0;
};

/// Assembles the pieces of many requests into calls of one stage server.
///
/// A call costs a fixed time whatever it holds, so the server gets one call
/// at a time and the next one holds all that came meanwhile. Under bursts the
/// pieces that can still be in time go first, the most urgent ahead; what
/// comes too late anyway fills up. No piece is sent without room for its
/// result. Used by one thread.
class stage_queue final
{
public:
    explicit stage_queue(const stage_pool_parameters& parameters);

    void configure(const stage_pool_parameters& parameters);

    void add(const std::shared_ptr<const stage_task>& task);

    /// Returns the pieces of the next call and counts it as running; empty
    /// when no call should be made now.
    std::vector<waiting_item> begin_call(boot_clock::time_point now);

    /// Returns and drops the pieces that cannot be made before their deadline
    /// or that nobody wants any more, and, while a full batch of others waits,
    /// those of requests that are late already and far from their end.
    std::vector<waiting_item> remove_expired(boot_clock::time_point now);

    /// Returns and drops all pieces that wait.
    std::vector<waiting_item> remove_all() { return std::exchange(queue_, {}); }

    /// Takes the end of a call.
    void call_ended(std::size_t pieces, std::uint64_t reserved_bytes,
                    milliseconds took, call_outcome end,
                    boot_clock::time_point now);

    /// Returns how long a call with this many pieces may take before the
    /// server counts as failed.
    milliseconds call_timeout(std::size_t pieces) const;

    server_load_report load_report(boot_clock::time_point now);

    result_memory& memory() { return memory_; }
    bool busy() const { return calls_ > 0 || !queue_.empty(); }

private:
    milliseconds nominal_duration(std::size_t pieces) const;
    milliseconds expected_duration(std::size_t pieces) const;

    stage_pool_parameters parameters_;
    result_memory memory_;
    std::vector<waiting_item> queue_;
    std::uint32_t calls_ = 0;
    boot_clock::time_point busy_until_;
    boot_clock::time_point ejected_until_;
    double slowdown_ = 1;
};

} // namespace mangolink
