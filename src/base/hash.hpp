#pragma once

#include <cstdint>
#include <string_view>

namespace mangolink
{

/// Returns the XXH3 hash of the bytes; the same on every machine.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the score of a candidate with a weight for weighted rendezvous
/// hashing: the candidate with the highest score is chosen, with a probability
/// proportional to its weight. The same on every machine.
double weighted_rank(std::uint64_t hash, double weight);

/// Chained hash of a sequence of byte strings.
class running_digest final
{
public:
    /// Adds bytes. The result depends on the order of the calls and on how the
    /// bytes are split between them.
    void add(std::string_view bytes);

    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

} // namespace mangolink
