#pragma once

#include <cstdint>

namespace mangolink
{

/// What an agent says about itself in every load report.
enum class agent_state : std::uint8_t
{
    starting, ///< takes no work yet
    ready,
    leaving ///< finishes what it has and takes no new work
};

/// Returns the state with this number of a message; numbers that are not
/// known give `starting`, which takes no work.
constexpr agent_state agent_state_from_wire(std::uint32_t number)
{
    constexpr auto last = static_cast<std::uint32_t>(agent_state::leaving);
    return number <= last ? static_cast<agent_state>(number)
                          : agent_state::starting;
}

} // namespace mangolink
