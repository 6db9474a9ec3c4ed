#pragma once

#include "base/clock.hpp"

#include <array>
#include <cstdint>

namespace mangolink
{

/// Bound on repeated sends to one service within a sliding window.
struct windowed_retry_budget_settings final
{
    double ratio = 0.2; ///< repeated sends per request
    double slack = 0;   ///< repeated sends allowed besides
    milliseconds window{10'000};
};

/// Limits repeated sends to a service, so that all processes together stay
/// under the platform's bound.
///
/// Each process counts its own requests and has a share of the slack; the sum
/// then stays under the bound however requests are spread. Used by one thread.
class windowed_retry_budget final
{
public:
    explicit windowed_retry_budget(windowed_retry_budget_settings settings);

    /// Sets the share of the slack, 0 to 1, after processes came or went.
    void set_slack_share(double share) { share_ = share; }

    /// Counts a request of a caller for the service.
    void count_request(boot_clock::time_point now);

    /// Takes one repeated send; false when that would pass the bound.
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
