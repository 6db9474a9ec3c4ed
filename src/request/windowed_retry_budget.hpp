#pragma once

#include "base/clock.hpp"

#include <array>
#include <cstdint>

namespace mangolink
{

/// Limit on retries to a service within a sliding window.
struct windowed_retry_budget_settings final
{
    double ratio = 0.2; ///< retries per request
    double slack = 0;   ///< additional retries, shared by all processes
    milliseconds window{10'000};
};

/// Limits retries to a service, so that all processes together stay below the
/// limit of the platform.
///
/// Each process counts its own requests and has a share of the slack. The sum
/// over all processes therefore respects the limit for any distribution of the
/// requests. Not thread-safe.
class windowed_retry_budget final
{
public:
    explicit windowed_retry_budget(windowed_retry_budget_settings settings);

    /// Sets the share of the slack, from 0 to 1, when the number of processes
    /// changes.
    void set_slack_share(double share) { share_ = share; }

    /// Records a request of a caller for the service.
    void count_request(boot_clock::time_point now);

    /// Returns whether the budget allows a retry now.
    bool available(boot_clock::time_point now);

    /// Takes one retry from the budget. Returns false if it is exhausted.
    bool try_acquire(boot_clock::time_point now);

private:
    static constexpr std::size_t slices = 10;

    void advance(boot_clock::time_point now);

    windowed_retry_budget_settings settings_;
    double share_ = 0;
    std::array<std::uint32_t, slices> requests_{};
    std::array<std::uint32_t, slices> retries_{};
    std::int64_t slice_ = 0;
};

} // namespace mangolink
