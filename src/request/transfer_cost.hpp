#pragma once

#include <cstdint>

namespace mangolink
{

/// Returns the cost of reading bytes from another zone, expressed as an
/// equivalent waiting time of the caller in milliseconds. Transferring 20 MB
/// between zones costs about as much as an answer is worth, and a delay of one
/// second loses most of that value.
constexpr double transfer_cost_ms(std::uint64_t bytes)
{
    constexpr double megabyte_cost_ms = 50;
    constexpr double megabyte = 1e6;
    return megabyte_cost_ms * static_cast<double>(bytes) / megabyte;
}

} // namespace mangolink
