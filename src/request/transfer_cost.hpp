#pragma once

#include <cstdint>

namespace mangolink
{

/// Returns the price of reading bytes from another zone, in milliseconds that
/// a caller would wait instead: 20 MB between zones cost about as much as an
/// answer is worth, and waiting a second loses most of it.
constexpr double transfer_cost_ms(std::uint64_t bytes)
{
    constexpr double megabyte_cost_ms = 50;
    constexpr double megabyte = 1e6;
    return megabyte_cost_ms * static_cast<double>(bytes) / megabyte;
}

} // namespace mangolink
