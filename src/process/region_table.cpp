#include "process/region_table.hpp"

#include <absl/strings/string_view.h>

namespace mangolink
{

region_table::region_table(
    const std::map<std::string, std::string>& region_of_zone)
{
    for (const auto& [zone, region] : region_of_zone)
    {
        if (region.empty())
        {
            continue;
        }
        auto known = by_name_.find(region);
        if (known == by_name_.end())
        {
            const auto index = static_cast<std::uint32_t>(names_.size());
            if (index >= region_set::max_regions)
            {
                continue;
            }
            names_.push_back(region);
            known = by_name_.emplace(region, region_set::only(index)).first;
        }
        by_zone_.emplace(zone, known->second);
    }
}

region_set region_table::set_of(const std::vector<std::string>& names) const
{
    region_set result = region_set::none();
    for (const auto& name : names)
    {
        const auto found = by_name_.find(name);
        result = found == by_name_.end() ? result : result | found->second;
    }
    return result;
}

region_set region_table::region_of(std::string_view zone) const
{
    const auto found =
        by_zone_.find(absl::string_view(zone.data(), zone.size()));
    return found == by_zone_.end() ? region_set::none() : found->second;
}

std::vector<std::string> region_table::names_of(region_set regions) const
{
    std::vector<std::string> result;
    for (std::uint32_t index = 0; index < names_.size(); ++index)
    {
        if (regions.includes(region_set::only(index)))
        {
            result.push_back(names_[index]);
        }
    }
    return result;
}

} // namespace mangolink
