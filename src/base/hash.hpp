#pragma once

#include <cstdint>
#include <string_view>

namespace mangolink
{

/// Returns the XXH3 hash of the bytes; the same on every machine.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// Hashes the concatenation of byte strings that arrive one by one.
class running_digest final
{
public:
    /// Adds bytes. The result depends on the order of the calls and on where
    /// the bytes were divided.
    void add(std::string_view bytes);

    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

} // namespace mangolink
