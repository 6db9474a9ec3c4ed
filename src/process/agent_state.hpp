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

} // namespace mangolink
