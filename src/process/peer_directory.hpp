#pragma once

#include "base/clock.hpp"
#include "base/incarnation.hpp"
#include "base/socket_address.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// Another process of the same role.
struct peer final
{
    incarnation process_incarnation; ///< random per process start
    std::string name;
    std::string zone;
    socket_address address; ///< where it takes orders and beats
    bool stopping = false;
};

/// What a beat of a peer changed.
enum class peer_change : std::uint8_t
{
    none,
    joined,
    restarted,
    stopping
};

/// Settings of a peer directory.
struct peer_directory_settings final
{
    peer self;
    std::vector<std::string> region_zones; ///< of the own region; empty: all
    milliseconds heartbeat_timeout{900};   ///< four beats and a slow link
    /// The same for processes of other regions, which get fewer beats when
    /// there are many processes.
    milliseconds far_heartbeat_timeout{1900};
    milliseconds process_count_window{20'000};
};

/// Knows which processes of the role are alive, from their beats, and which
/// of them is responsible for a backend server.
///
/// Views of two processes may differ for a while; who is responsible is then
/// not unique, and nothing may depend on it but efficiency. Used by one
/// thread.
class peer_directory final
{
public:
    explicit peer_directory(peer_directory_settings settings);

    /// Takes a beat.
    peer_change record_heartbeat(const peer& from, boot_clock::time_point now);

    /// Takes an address at which a peer may be.
    void add_candidate(const socket_address& address,
                       boot_clock::time_point now);

    /// Forgets peers that were silent for too long; returns their names.
    std::vector<std::string> expire(boot_clock::time_point now);

    /// Returns where a beat of this number should go: peers, and addresses
    /// where one may be. With many processes those of other regions get only
    /// each third beat.
    std::vector<socket_address> heartbeat_targets(std::uint64_t beat) const;

    /// Returns the addresses of the peers that are alive.
    std::vector<socket_address> live_addresses() const;

    /// Returns the peer responsible for a server in a zone; null when this
    /// process is.
    const peer* owner_of(std::string_view server, std::string_view zone) const;

    /// Returns the processes of the own zone that read the platform for it: a
    /// few by rendezvous hash, none that is stopping. This process may be one
    /// of them; it is the only one when it is alone.
    std::vector<const peer*> readers() const;

    /// Returns the peer of that name, or null.
    const peer* find(std::string_view name) const;

    const peer& self() const { return settings_.self; }

    /// Marks this process as stopping.
    void stop() { settings_.self.stopping = true; }

    std::size_t size() const { return peers_.size(); }

    /// Returns the most processes, this one included, that were alive at once
    /// within the memory; for shares of common bounds.
    std::size_t max_recent_processes(boot_clock::time_point now);

private:
    struct peer_entry final
    {
        peer facts;
        boot_clock::time_point record_heartbeat;
    };
    bool has_reduced_heartbeats(const peer& one) const;

    struct candidate final
    {
        socket_address address;
        boot_clock::time_point add_candidate;
    };
    struct count_sample final
    {
        boot_clock::time_point at;
        std::size_t count = 0;
    };

    peer_directory_settings settings_;
    absl::flat_hash_map<std::string, peer_entry> peers_;
    std::vector<candidate> candidates_;
    std::deque<count_sample> counts_;
};

} // namespace mangolink
