#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

namespace mangolink
{

/// Remembers when servers last gave output for requests with a part of a
/// prompt. Their number is bounded; the parts without recent output are
/// forgotten first. Not thread-safe.
class output_times final
{
public:
    void add(std::uint64_t part, boot_clock::time_point time);

    /// Returns the time of the last output, or nothing if it is not known.
    std::optional<boot_clock::time_point> find(std::uint64_t part) const;

private:
    absl::flat_hash_map<std::uint64_t, boot_clock::time_point> newer_;
    absl::flat_hash_map<std::uint64_t, boot_clock::time_point> older_;
};

} // namespace mangolink
