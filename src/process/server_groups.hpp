#pragma once

#include "process/backend_server.hpp"
#include "process/eligible_servers.hpp"
#include "process/placement.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mangolink
{

/// Divides the servers of large pools, so that the cost of a choice and the
/// work of an owner do not grow with the fleet.
///
/// The servers of a service in a zone form groups of bounded size, the same in
/// every process that knows the same servers. The subset of a service holds
/// some servers of each zone and differs between processes. Not thread-safe.
class server_groups final
{
public:
    using server_pointer = eligible_servers::server_pointer;
    using servers_by_service = eligible_servers::servers_by_service;

    explicit server_groups(placement place, region_table regions = {});

    /// Replaces all servers.
    void rebuild(const servers_by_service& servers);

    /// Returns the name of the server's group, unique within its zone.
    std::string group_of(const backend_server& server) const;

    /// Returns the servers of the group of a server.
    const std::vector<server_pointer>&
    members(const backend_server& server) const;

    /// Returns the servers of a service in the regions that this process
    /// chooses among.
    const std::vector<server_pointer>& subset(std::string_view service,
                                              region_set regions) const;

private:
    using zone_key = std::pair<std::string, std::string>; ///< name, zone

    placement place_;
    absl::flat_hash_map<zone_key, std::size_t> pool_sizes_; ///< by service
    absl::flat_hash_map<zone_key, std::vector<server_pointer>> groups_;
    eligible_servers subsets_;
};

} // namespace mangolink
