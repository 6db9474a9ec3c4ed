#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

namespace mangolink
{

/// Remembers a time for each of a bounded number of keys. Those that were not
/// set for longest are forgotten first. Not thread-safe.
class recent_times final
{
public:
    void set(std::uint64_t key, boot_clock::time_point time);

    /// Returns the time of a key, or nothing if it is not known.
    std::optional<boot_clock::time_point> find(std::uint64_t key) const;

private:
    absl::flat_hash_map<std::uint64_t, boot_clock::time_point> newer_;
    absl::flat_hash_map<std::uint64_t, boot_clock::time_point> older_;
};

} // namespace mangolink
