#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string_view>

namespace mangolink
{

/// Measures the request rate of each service at this process, coarsely, so that
/// other processes need to be told rarely. Not thread-safe.
class demand_meter final
{
public:
    /// Counts a request for a service, also one that is refused.
    void count(std::string_view service);

    /// Updates the rates; has an effect once a second.
    void update(boot_clock::time_point now);

    /// Returns the rates by the hash of the service, as powers of two of
    /// requests a second. Services without requests are left out.
    const absl::flat_hash_map<std::uint64_t, int>& current() const
    {
        return levels_;
    }

private:
    struct service_rate final
    {
        double counted = 0;
        double per_second = 0; ///< smoothed
    };

    absl::flat_hash_map<std::uint64_t, service_rate> rates_;
    absl::flat_hash_map<std::uint64_t, int> levels_;
    boot_clock::time_point updated_;
};

} // namespace mangolink
