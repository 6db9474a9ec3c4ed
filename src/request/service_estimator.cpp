#include "request/service_estimator.hpp"

namespace mangolink
{
namespace
{

/// A sample moves the mean by 1/16 of its difference from the mean.
constexpr int smoothing = 16;

} // namespace

void service_estimator::add(std::uint64_t key, microseconds measured)
{
    service_estimate& entry = estimates_[key];
    if (entry.samples == 0)
    {
        entry.mean = measured;
        entry.deviation = measured / 4;
    }
    else
    {
        const microseconds error = measured - entry.mean;
        entry.mean += error / smoothing;
        entry.deviation +=
            (std::chrono::abs(error) - entry.deviation) / smoothing;
    }
    ++entry.samples;
}

service_estimate service_estimator::estimate(std::uint64_t key) const
{
    const auto found = estimates_.find(key);
    return found == estimates_.end() ? service_estimate{} : found->second;
}

} // namespace mangolink
