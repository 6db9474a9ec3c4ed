#pragma once

#include "process/backend_server.hpp"
#include "process/region_table.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// Servers of each service, filtered by the regions that a request may use.
///
/// Each filtered list is made once for a set of regions and kept until the
/// servers change, so that a choice allocates nothing. Not thread-safe.
class eligible_servers final
{
public:
    using server_pointer = std::shared_ptr<const backend_server>;
    using servers_by_service =
        absl::flat_hash_map<std::string, std::vector<server_pointer>>;

    explicit eligible_servers(region_table regions);

    /// Replaces all servers. Invalidates the lists that were returned.
    void replace(servers_by_service servers);

    /// Returns the servers of a service in the regions, in their order.
    const std::vector<server_pointer>& of(std::string_view service,
                                          region_set regions) const;

private:
    /// Returns the servers of all services in the regions.
    const servers_by_service& filtered(region_set regions) const;

    region_table regions_;
    servers_by_service all_;
    mutable absl::flat_hash_map<std::uint64_t, servers_by_service>
        filtered_; ///< by the bits of the set of regions
};

} // namespace mangolink
