#include "request/windowed_retry_budget.hpp"

#include <algorithm>
#include <numeric>

namespace mangolink
{

windowed_retry_budget::windowed_retry_budget(
    windowed_retry_budget_settings settings)
    : settings_(settings)
{
}

void windowed_retry_budget::count_request(boot_clock::time_point now)
{
    advance(now);
    ++requests_[static_cast<std::size_t>(slice_) % slices];
}

bool windowed_retry_budget::available(boot_clock::time_point now)
{
    advance(now);
    // The slices together cover slightly more than the window. To be on the
    // safe side, retries are counted over all slices and requests without the
    // oldest.
    const auto oldest = static_cast<std::size_t>(slice_ + 1) % slices;
    const auto requests =
        std::accumulate(requests_.begin(), requests_.end(), 0U) -
        requests_[oldest];
    const auto retries = std::accumulate(retries_.begin(), retries_.end(), 0U);
    const double bound = settings_.ratio * requests + settings_.slack * share_;
    return retries + 1 <= bound;
}

bool windowed_retry_budget::try_acquire(boot_clock::time_point now)
{
    if (!available(now))
    {
        return false;
    }
    ++retries_[static_cast<std::size_t>(slice_) % slices];
    return true;
}

void windowed_retry_budget::advance(boot_clock::time_point now)
{
    const auto width = settings_.window / static_cast<int>(slices - 1);
    const auto current = now.time_since_epoch() / width;
    const auto steps = std::min<std::int64_t>(current - slice_, slices);
    for (std::int64_t i = 0; i < steps; ++i)
    {
        const auto index = static_cast<std::size_t>(current - i) % slices;
        requests_[index] = 0;
        retries_[index] = 0;
    }
    slice_ = std::max(slice_, current);
}

} // namespace mangolink
