#pragma once

#include "base/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace mangolink::test
{

/// After the end of every simulation.
constexpr milliseconds never = std::chrono::hours(24);

/// Conditions of a simulated fleet.
struct fleet_settings final
{
    std::size_t gateways = 4;
    std::size_t servers = 18;
    std::size_t limited_servers = 18; ///< the first ones
    double limit = 2;
    double offered = 3;     ///< requests per server, as a multiple of the limit
    double first_share = 0; ///< of the requests, at the first gateway
    bool idle_periods = false; ///< 14 s of each 20 s without requests
    double lost_heartbeats = 0.1;
    milliseconds duration{30'000};
    /// The limits are those of cold servers, which the platform tells to each
    /// gateway within this time; no answer names them. never: named limits.
    milliseconds cold_news_delay = never;
    milliseconds lifted = never;    ///< when the limits end
    milliseconds lowered = never;   ///< when they are halved
    milliseconds cut_begin = never; ///< of the fleet in halves
    milliseconds cut_end = never;
    milliseconds paused = never;    ///< first gateway, for 5 s
    milliseconds restarted = never; ///< half of the gateways
};

struct fleet_result final
{
    double worst = 0; ///< count in a window, as a multiple of what is allowed
    double used = 0;  ///< share of the limits, after the contact time
    double worst_second = 0; ///< as a multiple of what a cold server takes
    std::size_t refused = 0;
    std::size_t sent_after_lift = 0; ///< from a second after it
};

/// Plays gateways that share the limits of servers and exchange heartbeats.
fleet_result play(const fleet_settings& settings, std::uint64_t seed = 1);

} // namespace mangolink::test
