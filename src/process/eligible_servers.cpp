#include "process/eligible_servers.hpp"

#include <absl/strings/string_view.h>

#include <algorithm>
#include <iterator>

namespace mangolink
{

eligible_servers::eligible_servers(region_table regions)
    : regions_(std::move(regions))
{
}

void eligible_servers::replace(servers_by_service servers)
{
    all_ = std::move(servers);
    filtered_.clear();
}

const std::vector<eligible_servers::server_pointer>&
eligible_servers::of(std::string_view service, region_set regions) const
{
    static const std::vector<server_pointer> none;
    const auto& servers = regions.is_all() ? all_ : filtered(regions);
    const auto found =
        servers.find(absl::string_view(service.data(), service.size()));
    return found == servers.end() ? none : found->second;
}

const eligible_servers::servers_by_service&
eligible_servers::filtered(region_set regions) const
{
    const auto [found, added] = filtered_.try_emplace(regions.bits());
    if (added)
    {
        const auto is_eligible = [this, regions](const server_pointer& server)
        { return regions_.contains(regions, server->zone); };
        for (const auto& [service, list] : all_)
        {
            auto& eligible = found->second[service];
            std::copy_if(list.begin(), list.end(), std::back_inserter(eligible),
                         is_eligible);
        }
    }
    return found->second;
}

} // namespace mangolink
