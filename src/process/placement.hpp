#pragma once

#include "process/distance.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// Location of this process, used to prefer nearby servers.
struct placement final
{
    std::string instance;
    std::string zone;
    std::vector<std::string> region_zones; ///< zones of the same region

    distance to(std::string_view other) const
    {
        if (other == zone)
        {
            return distance::same_zone;
        }
        const auto& near = region_zones;
        return std::find(near.begin(), near.end(), other) != near.end()
                   ? distance::same_region
                   : distance::other_region;
    }
};

} // namespace mangolink
