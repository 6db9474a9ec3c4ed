#include "base/hash.hpp"

#include <xxhash.h>

#include <cmath>

namespace mangolink
{

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

double weighted_rank(std::uint64_t hash, double weight)
{
    // Maps the upper 53 bits to the open interval (0, 1).
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * 0x1p-53;
    return -weight / std::log(uniform);
}

void running_digest::add(std::string_view bytes)
{
    value_ = stable_hash(bytes, value_);
}

} // namespace mangolink
