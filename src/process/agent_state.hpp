#pragma once

#include <cstdint>

namespace mangolink
{

/// State that an agent reports in every load report.
enum class agent_state : std::uint8_t
{
    starting, ///< accepts no work yet
    ready,
    leaving ///< finishes its calls and accepts no new work
};

/// Converts the number in a message to a state. Unknown numbers map to
/// `starting`, in which an agent gets no work.
constexpr agent_state agent_state_from_wire(std::uint32_t number)
{
    constexpr auto last = static_cast<std::uint32_t>(agent_state::leaving);
    return number <= last ? static_cast<agent_state>(number)
                          : agent_state::starting;
}

} // namespace mangolink
