#pragma once

#include "base/clock.hpp"
#include "base/incarnation.hpp"
#include "base/socket_address.hpp"
#include "process/placement.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

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
    socket_address address; ///< receives tasks and heartbeats
    bool stopping = false;
    double weight = 1; ///< processor share in cores, as a preference for owners
    milliseconds heartbeat_interval{150}; ///< announced by the process
};

/// Change caused by a heartbeat of a peer.
enum class peer_change : std::uint8_t
{
    none,
    joined,
    restarted,
    stopping
};

/// What a heartbeat carries beside the state of its sender.
enum class heartbeat_kind : std::uint8_t
{
    liveness,
    load ///< load reports of stage servers that the sender owns
};

/// Settings of a peer directory.
struct peer_directory_settings final
{
    peer self;
    std::vector<std::string> region_zones; ///< own region; empty: all
    /// A process is unresponsive after this time in addition to three of its
    /// heartbeat intervals.
    milliseconds silence_margin{450};
    milliseconds process_count_window{20'000};
};

/// Tracks by heartbeats which processes of the same role are alive, and
/// determines which of them owns a group of backend servers.
///
/// The views of two processes may differ temporarily, so that the owner is not
/// unique. Correctness must not depend on it, only efficiency. Not thread-safe.
class peer_directory final
{
public:
    explicit peer_directory(peer_directory_settings settings);

    /// Records a heartbeat of a peer.
    peer_change record_heartbeat(const peer& from, boot_clock::time_point now);

    /// Adds an address at which a process may be reachable that is not yet a
    /// peer.
    void add_candidate(const socket_address& address,
                       boot_clock::time_point now);

    /// Removes unresponsive peers and returns their names.
    std::vector<std::string> expire(boot_clock::time_point now);

    /// Returns the addresses to which the heartbeat with this number is sent:
    /// those of peers and of candidates. With many processes, peers in other
    /// zones get only some of the heartbeats, in other regions still fewer, but
    /// more of them if the heartbeats carry load reports.
    std::vector<socket_address>
    heartbeat_targets(std::uint64_t heartbeat_number,
                      heartbeat_kind kind) const;

    /// Returns the addresses of the peers in the own region, or only in the own
    /// zone; none if they are too many to be told of single requests.
    std::vector<socket_address> nearby_addresses(bool zone_only) const;

    /// Returns the address of one peer in each zone of other regions, chosen by
    /// rendezvous hashing of the key. Zones with too many processes to be told
    /// of single requests are left out.
    std::vector<socket_address> relay_addresses(std::uint64_t key) const;

    /// Returns whether a peer with this address is in the own region.
    bool is_nearby(const socket_address& address) const;

    /// Returns the mean number of peers that a heartbeat is sent to.
    double mean_heartbeat_targets(heartbeat_kind kind) const;

    /// Returns all live peers.
    std::vector<const peer*> all() const;

    /// Returns the addresses of all live peers.
    std::vector<socket_address> live_addresses() const;

    /// Records that a connection to a peer failed. Until its next heartbeat it
    /// owns servers only if no other process can.
    void suspect(const std::string& name);

    /// Returns the peer that owns a group of servers in a zone, or null if this
    /// process owns them.
    const peer* owner_of(std::string_view group, std::string_view zone) const;

    /// Returns the processes that read the platform on behalf of the own zone:
    /// a few chosen by rendezvous hashing, none of them stopping. This process
    /// may be included; it is the only reader if it has no peers.
    std::vector<const peer*> readers() const;

    /// Returns the peer with this name, or null.
    const peer* find(std::string_view name) const;

    const peer& self() const { return settings_.self; }

    /// Marks this process as stopping.
    void stop() { settings_.self.stopping = true; }

    std::size_t size() const { return peers_.size(); }

    /// Returns the maximum number of processes, including this one, that were
    /// alive at the same time within process_count_window. Used to divide
    /// shared limits.
    std::size_t max_recent_processes(boot_clock::time_point now);

private:
    struct peer_entry final
    {
        peer info;
        boot_clock::time_point last_heartbeat;
        bool suspected = false;
    };
    distance distance_to(const peer& process) const;
    std::uint64_t heartbeat_stride(const peer& process,
                                   heartbeat_kind kind) const;
    milliseconds heartbeat_timeout(const peer& process) const;

    struct candidate final
    {
        socket_address address;
        boot_clock::time_point last_seen;
    };
    struct count_sample final
    {
        boot_clock::time_point at;
        std::size_t count = 0;
    };

    peer_directory_settings settings_;
    placement place_;
    absl::flat_hash_map<std::string, peer_entry> peers_;
    absl::flat_hash_set<socket_address> peer_addresses_;
    std::vector<candidate> candidates_;
    std::deque<count_sample> counts_;
};

} // namespace mangolink
