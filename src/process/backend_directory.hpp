#pragma once

#include "base/clock.hpp"
#include "process/backend_server.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// What changed in the directory; for the log.
enum class directory_change : std::uint8_t
{
    none,
    outdated, ///< older than what is known
    joined,
    restarted, ///< same id, another start or address
    leaving,
    suspected, ///< its entry is gone, but the directory was away just before
    removed
};

/// Knows the backend servers that may be used.
///
/// A server whose entry says that it leaves, or whose entry is removed, takes
/// no new work. While the directory itself is away entries lapse although
/// their servers live; such a server stays in use until `suspicion_timeout`
/// after the directory is back. Used by one thread.
class backend_directory final
{
public:
    using server_pointer = std::shared_ptr<const backend_server>;

    /// `suspicion_timeout` must be shorter than the time that the platform
    /// gives for a leaving server to get no more work.
    explicit backend_directory(milliseconds suspicion_timeout);

    /// Takes the entry of a server. An entry older than what is known of the
    /// id, also of one that was removed, changes nothing.
    directory_change put(backend_server server);

    /// Takes the removal of an entry. `disturbed`: the directory was away
    /// shortly before.
    directory_change remove(std::string_view id, bool store_disrupted,
                            boot_clock::time_point now);

    /// Takes a whole listing: every server not in it is removed. Returns the
    /// ids of those.
    std::vector<std::string> replace_all(std::vector<backend_server> servers,
                                         bool store_disrupted,
                                         boot_clock::time_point now);

    /// Removes suspected servers whose time is over; returns their ids.
    std::vector<std::string> expire(boot_clock::time_point now);

    /// Returns the servers of a service that may take work.
    const std::vector<server_pointer>& servers(std::string_view service) const;

    /// Returns the server with this id if it may take work, else null.
    server_pointer find(std::string_view id) const;

    /// Returns the usable server at an address, else null.
    server_pointer find_address(std::string_view address) const;

    std::size_t size() const { return servers_.size(); }

    /// Returns a number that grows with every change of the usable servers.
    std::uint64_t version() const { return version_; }

private:
    struct directory_entry final
    {
        server_pointer server;
        boot_clock::time_point suspected_until = boot_clock::time_point::max();
    };

    void erase(const std::string& id);
    void index();

    milliseconds suspicion_timeout_;
    absl::flat_hash_map<std::string, directory_entry> servers_;
    absl::flat_hash_map<std::string, std::vector<server_pointer>> by_service_;
    absl::flat_hash_map<std::string, server_pointer> removed_; ///< newest known
    std::uint64_t version_ = 0;
};

} // namespace mangolink
