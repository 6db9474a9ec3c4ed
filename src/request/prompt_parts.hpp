#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink
{

/// Parts of a prompt by their ids. Requests share all but the last one.
struct prompt_parts final
{
    std::vector<std::uint64_t> shared; ///< in order
    std::uint64_t own = 0; ///< of the request or its session; 0: none

    /// Returns the ids in order, for the log.
    std::string text() const;
};

/// Returns the id of a part as callers write it, without leading zeros.
std::string prompt_part_text(std::uint64_t part);

} // namespace mangolink
