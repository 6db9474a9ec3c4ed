#include "base/hash.hpp"

#include <xxhash.h>

namespace mangolink
{

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

void running_digest::add(std::string_view bytes)
{
    value_ = stable_hash(bytes, value_);
}

} // namespace mangolink
