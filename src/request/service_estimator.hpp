#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace mangolink
{

/// Smoothed service time of one kind of work.
struct service_estimate final
{
    microseconds mean{0};
    microseconds deviation{0}; ///< smoothed absolute deviation from the mean
    std::uint64_t samples = 0;

    /// Returns a time that most samples stay below.
    microseconds upper_estimate() const { return mean + 2 * deviation; }
};

/// Estimates the service time per unit of work of each stage of each pipeline.
/// Used only on the thread of the executor.
class service_estimator final
{
public:
    /// Adds a measured time.
    void add(std::uint64_t key, microseconds measured);

    /// Returns the estimate, which has no samples for an unknown key.
    service_estimate estimate(std::uint64_t key) const;

private:
    absl::flat_hash_map<std::uint64_t, service_estimate> estimates_;
};

} // namespace mangolink
