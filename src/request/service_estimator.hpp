#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace mangolink
{

/// Smoothed time of one kind of work.
struct service_estimate final
{
    microseconds mean{0};
    microseconds deviation{0}; ///< smoothed distance from the mean
    std::uint64_t samples = 0;

    /// Returns a time that most runs stay under.
    microseconds upper_estimate() const { return mean + 2 * deviation; }
};

/// Learns how long each stage of each pipeline takes per unit of work.
/// Used by the thread of the executor only.
class service_estimator final
{
public:
    /// Adds one measured time.
    void add(std::uint64_t key, microseconds measured);

    /// Returns the estimate; zero samples when the key is new.
    service_estimate estimate(std::uint64_t key) const;

private:
    absl::flat_hash_map<std::uint64_t, service_estimate> estimates_;
};

} // namespace mangolink
