#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// Distance from this process.
enum class distance : unsigned char
{
    same_zone,
    same_region,
    other_region
};

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
