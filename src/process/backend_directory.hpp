#pragma once

#include "base/clock.hpp"
#include "process/backend_server.hpp"
#include "process/server_groups.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// Kind of change of the directory, for logging.
enum class directory_change : std::uint8_t
{
    none,
    outdated, ///< older than the known entry; ignored
    joined,
    updated,   ///< other attributes, or it no longer leaves
    restarted, ///< same id, but another start time or address
    leaving,
    suspected, ///< entry missing after a disruption of the store
    removed
};

/// Table of the backend servers that may be used.
///
/// A server whose entry is marked as leaving or was removed gets no new work,
/// nor do those of an evacuated zone.
/// While the store is unavailable, entries of live servers expire. A server
/// whose entry disappears shortly after such a disruption is therefore only
/// suspected: it stays in use until its entry returns or `suspicion_timeout`
/// has passed. Not thread-safe.
class backend_directory final
{
public:
    using server_pointer = std::shared_ptr<const backend_server>;

    /// `suspicion_timeout` must be shorter than the time after which, by the
    /// rules of the platform, a leaving server must get no more work. `place`
    /// is that of this process.
    explicit backend_directory(milliseconds suspicion_timeout,
                               placement place = {},
                               const region_table& regions = {});

    /// Adds or updates a server. An outdated entry is ignored.
    directory_change put(backend_server server);

    /// Marks this start of a server as leaving, whatever its entries say from
    /// now on. Returns `none` if nothing changes, as for an unknown server.
    directory_change mark_leaving(const backend_server& server);

    /// Returns whether an entry is older than the known one of the same id,
    /// also if the server was removed since. An entry as old as the known one
    /// is outdated if the server was known to be leaving, and also if it was
    /// removed while the store was sound.
    bool is_outdated(const backend_server& server) const;

    /// Returns the known entry with this id, also of a leaving server, or null.
    server_pointer known(std::string_view id) const;

    /// Removes a server, or marks it as suspected if `store_disrupted`: the
    /// store was unavailable shortly before.
    directory_change remove(std::string_view id, bool store_disrupted,
                            boot_clock::time_point now);

    /// Replaces all servers by a complete list. Returns the ids of the known
    /// servers that are not in the list; these are removed or suspected.
    std::vector<std::string> replace_all(std::vector<backend_server> servers,
                                         bool store_disrupted,
                                         boot_clock::time_point now);

    /// Removes suspected servers whose timeout has passed; returns their ids.
    std::vector<std::string> expire(boot_clock::time_point now);

    /// Replaces the zones whose servers get no new work. The servers of a zone
    /// that is no longer among them are taken for cold for a short time, as
    /// their entries may not tell yet.
    void set_evacuated_zones(absl::flat_hash_set<std::string> zones,
                             boot_clock::time_point now);

    /// Returns whether a server accepts new work.
    bool accepts_work(const backend_server& server) const;

    /// Returns the servers of a service in the regions that accept new work.
    const std::vector<server_pointer>& servers(std::string_view service,
                                               region_set regions) const;

    /// Returns the groups and subsets of the servers that accept new work.
    const server_groups& groups() const;

    /// Returns the server with this id, or null if it accepts no new work.
    server_pointer find(std::string_view id) const;

    /// Returns the usable server at an address, or null.
    server_pointer find_address(std::string_view address) const;

    /// Returns the servers that are known, also leaving ones.
    std::vector<server_pointer> all() const;

    std::size_t size() const { return servers_.size(); }

    /// Returns the number of servers that are cold.
    std::size_t cold(boot_clock::time_point now) const;

    /// Returns a counter that increases with every change of usable servers.
    std::uint64_t version() const { return version_; }

private:
    struct directory_entry final
    {
        server_pointer server;
        boot_clock::time_point suspected_until = boot_clock::time_point::max();
    };

    struct removed_entry final
    {
        server_pointer server;
        bool has_left = false; ///< its last entry must not bring it back
    };

    void erase(const std::string& id, bool has_left);
    void mark_changed();

    /// Brings the indexes up to date: once for all changes since the last
    /// query, since a complete list changes hundreds of servers.
    void index() const;

    milliseconds suspicion_timeout_;
    absl::flat_hash_map<std::string, directory_entry> servers_;
    mutable bool indexed_ = true;
    mutable eligible_servers by_service_;
    mutable absl::flat_hash_map<std::string, server_pointer>
        by_address_; ///< IP:PORT
    mutable server_groups groups_;
    absl::flat_hash_map<std::string, removed_entry>
        removed_; ///< last known entries
    /// Starts of the servers that were marked as leaving.
    absl::flat_hash_map<std::string, std::uint64_t> marked_leaving_;
    absl::flat_hash_set<std::string> evacuated_zones_;
    /// Until when the servers of a zone are taken for cold.
    absl::flat_hash_map<std::string, boot_clock::time_point> presumed_cold_;
    std::uint64_t version_ = 0;
};

} // namespace mangolink
