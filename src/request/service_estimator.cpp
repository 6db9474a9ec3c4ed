#include "request/service_estimator.hpp"

namespace mangolink
{
namespace
{

/// One sample moves the mean by a sixteenth of its distance.
constexpr int smoothing = 16;

} // namespace

void service_estimator::add(std::uint64_t key, microseconds measured)
{
    service_estimate& row = rows_[key];
    if (row.samples == 0)
    {
        row.mean = measured;
        row.deviation = measured / 4;
    }
    else
    {
        const microseconds error = measured - row.mean;
        row.mean += error / smoothing;
        row.deviation += (std::chrono::abs(error) - row.deviation) / smoothing;
    }
    ++row.samples;
}

service_estimate service_estimator::estimate(std::uint64_t key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? service_estimate{} : found->second;
}

} // namespace mangolink
