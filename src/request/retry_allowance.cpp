#include "request/retry_allowance.hpp"

#include <algorithm>
#include <numeric>

namespace mangolink
{

retry_allowance::retry_allowance(retry_allowance_settings settings)
    : settings_(settings)
{
}

void retry_allowance::count_request(boot_clock::time_point now)
{
    advance(now);
    ++requests_[static_cast<std::size_t>(slice_) % slices];
}

bool retry_allowance::take(boot_clock::time_point now)
{
    advance(now);
    // All slices together are a little longer than the window: repeats are
    // counted over all, requests without the oldest.
    const auto oldest = static_cast<std::size_t>(slice_ + 1) % slices;
    const auto requests =
        std::accumulate(requests_.begin(), requests_.end(), 0U) -
        requests_[oldest];
    const auto repeats = std::accumulate(repeats_.begin(), repeats_.end(), 0U);
    const double bound = settings_.ratio * requests + settings_.slack * share_;
    if (repeats + 1 > bound)
    {
        return false;
    }
    ++repeats_[static_cast<std::size_t>(slice_) % slices];
    return true;
}

void retry_allowance::advance(boot_clock::time_point now)
{
    const auto width = settings_.window / static_cast<int>(slices - 1);
    const auto current = now.time_since_epoch() / width;
    const auto steps = std::min<std::int64_t>(current - slice_, slices);
    for (std::int64_t i = 0; i < steps; ++i)
    {
        const auto index = static_cast<std::size_t>(current - i) % slices;
        requests_[index] = 0;
        repeats_[index] = 0;
    }
    slice_ = std::max(slice_, current);
}

} // namespace mangolink
