#pragma once

#include "base/clock.hpp"
#include "base/incarnation.hpp"
#include "process/agent_state.hpp"
#include "process/distance.hpp"

#include <cstdint>
#include <string>

namespace mangolink
{

/// Identifies an agent within one entry process; never reused.
enum class member_id : std::uint32_t
{
};

/// Load of a backend server from the last report of its agent.
struct member_load final
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 1;
    microseconds queued_work{0};
    microseconds service_time{0};
    microseconds first_byte{0};
    double slowdown = 1; ///< actual call time divided by expected time
};

/// State of one agent as known to an entry.
struct member final
{
    member_id id{};
    std::string name; ///< of the backend server
    std::string address;
    std::string zone;
    std::string region;
    distance where = distance::same_zone;

    incarnation known_incarnation; ///< unknown until the first message
    agent_state state = agent_state::starting;
    member_load load;
    boot_clock::time_point last_heard;
    boot_clock::time_point load_time;

    /// Work sent by this entry since the last load report.
    microseconds unreported_work{0};
    std::uint32_t unreported = 0;  ///< attempts sent since the last load report
    std::uint32_t outstanding = 0; ///< attempts of this entry in progress

    std::uint32_t failures_in_row = 0;
    boot_clock::time_point ejected_until;

    /// Returns the ratio of calls to the concurrency limit; 1 when the backend
    /// server is fully loaded.
    double occupancy() const
    {
        const auto calls = load.running + load.queued + unreported;
        return static_cast<double>(calls) / static_cast<double>(load.limit);
    }
};

} // namespace mangolink
