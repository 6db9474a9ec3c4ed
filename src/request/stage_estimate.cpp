#include "request/stage_estimate.hpp"

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
constexpr double least_factor = 1;
constexpr double most_factor = 4;

/// Expectations below this are of stages that hardly take any time; their
/// ratio tells nothing.
constexpr milliseconds least_plain{50};

} // namespace

milliseconds stage_estimate::corrected(const std::string& route,
                                       milliseconds plain) const
{
    const auto found = factors_.find(route);
    const double factor = found == factors_.end() ? 1 : found->second;
    return std::chrono::duration_cast<milliseconds>(plain * factor);
}

void stage_estimate::learn(const std::string& route, milliseconds plain,
                           milliseconds actual)
{
    if (plain < least_plain)
    {
        return;
    }
    const double ratio = static_cast<double>(actual.count()) /
                         static_cast<double>(plain.count());
    auto& factor = factors_.try_emplace(route, 1).first->second;
    factor = std::clamp(factor + newest_weight * (ratio - factor), least_factor,
                        most_factor);
}

} // namespace mangolink
