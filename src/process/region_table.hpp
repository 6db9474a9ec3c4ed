#pragma once

#include "process/region_set.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// Numbers the regions of a deployment and tells the region of each zone.
/// Immutable.
class region_table final
{
public:
    region_table() = default;

    /// Takes the region of each zone. Regions beyond region_set::max_regions
    /// are unknown.
    explicit region_table(
        const std::map<std::string, std::string>& region_of_zone);

    /// Returns the set of the regions with these names. Unknown names add
    /// nothing, so that the set may be empty.
    region_set set_of(const std::vector<std::string>& names) const;

    /// Returns the set with the region of a zone; empty if it is unknown.
    region_set region_of(std::string_view zone) const;

    /// Returns whether a zone belongs to one of the regions. A zone of unknown
    /// region belongs to the set of all regions only.
    bool contains(region_set regions, std::string_view zone) const
    {
        return regions.is_all() || !(regions & region_of(zone)).empty();
    }

    /// Returns the names of the regions in a set, for operators.
    std::vector<std::string> names_of(region_set regions) const;

private:
    std::vector<std::string> names_;
    absl::flat_hash_map<std::string, region_set> by_name_;
    absl::flat_hash_map<std::string, region_set> by_zone_;
};

} // namespace mangolink
