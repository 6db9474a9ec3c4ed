#pragma once

#include "base/clock.hpp"
#include "base/incarnation.hpp"
#include "process/agent_state.hpp"

#include <cstdint>
#include <string>

namespace mangolink
{

/// Names one agent in one entry's view for as long as the entry runs.
enum class member_id : std::uint32_t
{
};

/// How far a backend server is from the entry.
enum class distance : std::uint8_t
{
    same_zone,
    same_region,
    other_region
};

/// Load of a backend server as its agent last reported it.
struct member_load final
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 1;
    microseconds queued_work{0};
    microseconds service_time{0};
    microseconds first_byte{0};
    double slowdown = 1; ///< time that calls take over the time expected
};

/// One agent as an entry sees it.
struct member final
{
    member_id id{};
    std::string name; ///< of the backend server
    std::string address;
    std::string zone;
    std::string region;
    distance where = distance::same_zone;

    incarnation known_incarnation; ///< unknown until the first answer
    agent_state state = agent_state::starting;
    member_load load;
    boot_clock::time_point last_heard;
    boot_clock::time_point load_time;

    /// Work this entry sent that the last load report does not contain.
    microseconds unreported_work{0};
    std::uint32_t unreported = 0;  ///< attempts that the report lacks
    std::uint32_t outstanding = 0; ///< attempts of this entry without an end

    std::uint32_t failures_in_row = 0;
    boot_clock::time_point ejected_until;

    /// Returns calls per allowed call: 1 when the backend server is full.
    double occupancy() const
    {
        const auto calls = load.running + load.queued + unreported;
        return static_cast<double>(calls) / static_cast<double>(load.limit);
    }
};

} // namespace mangolink
