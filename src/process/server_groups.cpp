#include "process/server_groups.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <bit>

namespace mangolink
{
namespace
{

using server_list = std::vector<server_groups::server_pointer>;

/// Mean number of servers in a group is at most this. An owner makes about five
/// calls a second for each.
constexpr std::size_t max_group_size = 12;

/// Limits of the subset: servers of the own zone and of each other zone.
constexpr std::size_t max_subset_in_zone = 24;
constexpr std::size_t max_subset_beyond = 8;

const server_list no_servers;

/// Keeps the servers that rank highest for this instance.
void limit_servers(server_list& servers, std::size_t limit,
                   std::string_view instance)
{
    if (servers.size() <= limit)
    {
        return;
    }
    const auto rank = [own = stable_hash(instance)](const auto& server)
    { return stable_hash(server->id, own); };
    std::sort(servers.begin(), servers.end(),
              [&rank](const auto& a, const auto& b)
              { return rank(a) > rank(b); });
    servers.resize(limit);
}

} // namespace

server_groups::server_groups(placement place, region_table regions)
    : place_(std::move(place)), subsets_(std::move(regions))
{
}

void server_groups::rebuild(const servers_by_service& servers)
{
    absl::flat_hash_map<zone_key, server_list> pools;
    for (const auto& [service, list] : servers)
    {
        for (const auto& server : list)
        {
            pools[{service, server->zone}].push_back(server);
        }
    }
    pool_sizes_.clear();
    groups_.clear();
    servers_by_service subsets;
    for (auto& [key, list] : pools)
    {
        pool_sizes_[key] = list.size();
        for (const auto& server : list)
        {
            groups_[{group_of(*server), server->zone}].push_back(server);
        }
        limit_servers(list,
                      key.second == place_.zone ? max_subset_in_zone
                                                : max_subset_beyond,
                      place_.instance);
        auto& subset = subsets[key.first];
        subset.insert(subset.end(), list.begin(), list.end());
    }
    subsets_.replace(std::move(subsets));
}

std::string server_groups::group_of(const backend_server& server) const
{
    const auto found = pool_sizes_.find({server.service, server.zone});
    const std::size_t size = found == pool_sizes_.end() ? 1 : found->second;
    // A power of two, so that a growing pool splits groups and moves nothing
    // else.
    const std::size_t groups =
        std::bit_ceil((size + max_group_size - 1) / max_group_size);
    return server.service + "/" +
           std::to_string(stable_hash(server.id) % groups);
}

const server_list& server_groups::members(const backend_server& server) const
{
    const auto found = groups_.find({group_of(server), server.zone});
    return found == groups_.end() ? no_servers : found->second;
}

const server_list& server_groups::subset(std::string_view service,
                                         region_set regions) const
{
    return subsets_.of(service, regions);
}

} // namespace mangolink
