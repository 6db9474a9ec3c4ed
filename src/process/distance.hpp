#pragma once

#include <cstdint>

namespace mangolink
{

/// Distance from this process.
enum class distance : std::uint8_t
{
    same_zone,
    same_region,
    other_region
};

} // namespace mangolink
