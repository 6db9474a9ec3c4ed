#include "request/stage_time_estimator.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Weight of the newest request. A gateway serves about six requests a second
/// per route, and a burst lasts several seconds.
constexpr double newest_weight = 0.15;

/// Bounds of the correction. The upper bound keeps the loss of a server from
/// blocking a route for long, since refused requests provide no samples.
constexpr double min_factor = 1;
constexpr double max_factor = 4;

/// Samples with a smaller estimate are ignored: the stages take hardly any time
/// and the ratio is meaningless.
constexpr milliseconds min_reported{50};

} // namespace

milliseconds stage_time_estimator::corrected(const std::string& route,
                                             milliseconds reported) const
{
    const auto found = correction_factors_.find(route);
    const double factor =
        found == correction_factors_.end() ? 1 : found->second;
    return std::chrono::duration_cast<milliseconds>(reported * factor);
}

void stage_time_estimator::add_sample(const std::string& route,
                                      milliseconds reported,
                                      milliseconds actual)
{
    if (reported < min_reported)
    {
        return;
    }
    const double ratio = static_cast<double>(actual.count()) /
                         static_cast<double>(reported.count());
    auto& factor = correction_factors_.try_emplace(route, 1).first->second;
    factor = std::clamp(factor + newest_weight * (ratio - factor), min_factor,
                        max_factor);
}

} // namespace mangolink
