#pragma once

#include "base/clock.hpp"
#include "process/backend_server.hpp"
#include "request/stage_plan.hpp"
#include "version/gateway_service.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

/// Piece that waits for a call of its stage pool.
struct waiting_piece final
{
    std::uint64_t run = 0; ///< number of the request in this process
    stage_piece piece;
    boot_clock::time_point queued;
    boot_clock::time_point due;      ///< made later, the request is late
    boot_clock::time_point deadline; ///< made later, it is of no use
    bool sent_before = false;
};

/// Load that a server reported with an answer.
struct server_load final
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
};

/// Where the process stands, to prefer servers near it.
struct placement final
{
    std::string instance;
    std::string zone;
    std::vector<std::string> region_zones; ///< zones of the same region
};

/// Call that should be made now.
struct planned_call final
{
    std::shared_ptr<const backend_server> server;
    std::vector<waiting_piece> pieces;
    milliseconds limit{0}; ///< after which the server counts as lost
};

/// Assembles the pieces of many requests into calls of one stage pool.
///
/// A call costs a fixed time whatever it holds, so a process keeps one call
/// in flight and collects what arrives meanwhile; more calls only while full
/// batches wait or a piece would come too late. Answers ordinary load with
/// few, fuller calls and bursts with full ones. Used by one thread.
class stage_pool_scheduler final
{
public:
    using server_pointer = std::shared_ptr<const backend_server>;

    stage_pool_scheduler(stage_pool_figures figures, placement place);

    /// Takes new figures of the configuration.
    void configure(stage_pool_figures figures) { figures_ = figures; }

    void add(waiting_piece piece);

    /// Drops the pieces of a request that has ended.
    void remove_run(std::uint64_t run);

    /// Returns the call to make now, if any.
    std::optional<planned_call> next(const std::vector<server_pointer>& servers,
                                     boot_clock::time_point now);

    /// Takes the end of a call. `answered`: the server gave an answer; `shed`:
    /// it had no room.
    void call_ended(const std::string& server, std::size_t pieces,
                    milliseconds took, std::optional<server_load> load,
                    bool answered, boot_clock::time_point now);

    /// Returns when next() should be asked again although nothing happened.
    std::optional<boot_clock::time_point> next_time() const;

    /// Returns the pieces that can't be made in time, and drops them.
    std::vector<waiting_piece> take_expired(boot_clock::time_point now);

    /// Returns how long a piece that is added now is expected to take.
    milliseconds expected_time(std::size_t servers) const;

    std::size_t waiting() const { return queue_.size(); }
    std::size_t calls() const { return calls_; }

private:
    struct server_row final
    {
        std::uint32_t calls = 0;
        double slowness = 1; ///< time taken over time expected, smoothed
        boot_clock::time_point avoid_until;
        boot_clock::time_point load_time;
        server_load load;
    };

    milliseconds nominal(std::size_t pieces) const;
    bool another_call_pays(boot_clock::time_point now) const;
    server_pointer choose(const std::vector<server_pointer>& servers,
                          boot_clock::time_point now);
    double cost(const backend_server& server, const server_row& row,
                boot_clock::time_point now) const;
    std::vector<waiting_piece> take_batch(boot_clock::time_point now);

    stage_pool_figures figures_;
    placement place_;
    std::vector<waiting_piece> queue_;
    absl::flat_hash_map<std::string, server_row> servers_;
    std::size_t calls_ = 0;
};

} // namespace mangolink
