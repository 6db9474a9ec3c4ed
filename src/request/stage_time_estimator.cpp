#include "request/stage_time_estimator.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Weight of the newest request; a gateway serves some six a second of each
/// route, and a burst lasts seconds.
constexpr double newest_weight = 0.15;

/// Bounds of the correction, so that a lost server does not close a route for
/// long: refused requests teach nothing.
constexpr double min_factor = 1;
constexpr double max_factor = 4;

/// Expectations below this are of stages that hardly take any time; their
/// ratio tells nothing.
constexpr milliseconds min_reported{50};

} // namespace

milliseconds stage_time_estimator::corrected(const std::string& route,
                                             milliseconds reported) const
{
    const auto found = factors_.find(route);
    const double factor = found == factors_.end() ? 1 : found->second;
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
    auto& factor = factors_.try_emplace(route, 1).first->second;
    factor = std::clamp(factor + newest_weight * (ratio - factor), min_factor,
                        max_factor);
}

} // namespace mangolink
