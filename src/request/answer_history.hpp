#pragma once

#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink
{

/// Results that the answers on one connection have named. A late copy of an
/// answer arrives on the connection of the original, so it is recognised for as
/// long as the connection lasts, whatever becomes of the server's entry or of
/// the results. Not thread-safe.
class answer_history final
{
public:
    /// Adds the results of an answer. Returns false if one of them was named
    /// before: the answer is then a copy, or cannot be told from one.
    bool add(const std::vector<std::string>& results);

    /// Returns whether the connection must not be used again, since the history
    /// would grow without bound.
    bool full() const { return hashes_.size() >= max_results; }

private:
    /// About a hundred kilobytes.
    static constexpr std::size_t max_results = 8192;

    absl::flat_hash_set<std::uint64_t> hashes_;
};

} // namespace mangolink
