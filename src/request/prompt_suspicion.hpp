#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace mangolink
{

/// End of a server that worked on a request and had given no output for it.
struct prompt_crash final
{
    std::uint64_t server_start = 0; ///< identifies the start of the server
    std::uint64_t request = 0;      ///< own part of the request
    boot_clock::time_point at;
};

/// What is known of a part that may crash servers. Processes exchange it.
struct prompt_suspicion final
{
    std::uint64_t part = 0;
    std::vector<prompt_crash> crashes; ///< in the order of their times
    /// When a server last gave output for a request with the part.
    std::optional<boot_clock::time_point> cleared;
    /// When a request with the part was last seen; set if it is quarantined.
    std::optional<boot_clock::time_point> last_request;
};

} // namespace mangolink
