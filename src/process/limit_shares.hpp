#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace mangolink
{

/// Part of a server's rate limit that a process may use.
struct limit_share final
{
    double per_second = 0;
    double burst = 0; ///< size of the token bucket; 0: may not send
};

/// Whether a process takes part in the use of limits.
struct limit_process final
{
    std::string name;
    bool stopping = false; ///< announced that it takes no new work
};

/// Divides the rate limits of servers among the processes, without asking them.
///
/// Few processes send to a limited server: a token bucket holds at least one
/// token, so that the sum of many buckets would exceed the limit. They are
/// chosen by rendezvous hashing, weighted with the demand of each process. The
/// share of processes that fell silent without a notice stays unused for a
/// time, as they may be cut off and still send. Not thread-safe.
class limit_shares final
{
public:
    /// `self`: name of this process.
    explicit limit_shares(std::string self);

    /// Request rates by the hash of the service, as powers of two.
    using demand_levels = absl::flat_hash_map<std::uint64_t, int>;

    /// Sets the demand of a process, if it is known.
    void set_demand(const std::string& process, const demand_levels& levels);

    /// Sets which processes are alive, this one among them, and makes changes
    /// take effect; those of the demand at most once a second.
    void update(const std::vector<limit_process>& alive,
                boot_clock::time_point now);

    /// Returns the own share of a server's limit.
    limit_share share(std::uint64_t server_start, std::uint64_t service,
                      double per_second) const;

    /// Returns the own share of a limit that holds for each second. The buckets
    /// are smaller, and the demand does not count: while it changes, processes
    /// disagree about the shares.
    limit_share strict_share(std::uint64_t server_start,
                             double per_second) const;

    /// Returns the share for a server that only its owner sends to. Another
    /// process gets a small one, as the owner may be unresponsive.
    limit_share owner_share(bool owner, double per_second) const;

    /// Returns a number that changes when shares may have changed.
    std::uint64_t version() const { return version_; }

    /// Returns the number of processes that share the limits.
    std::size_t processes() const { return senders_.size(); }

    /// Returns the fraction of the limits that is not reserved.
    double fraction() const { return fraction_; }

private:
    struct process_entry final
    {
        boot_clock::time_point last_alive;
        demand_levels demand;
    };

    /// Returns the own part of the limit among the senders with the highest
    /// ranks, each with a bucket of its part of the burst.
    using rank = std::pair<double, const std::string*>;
    limit_share part_of(std::vector<rank> ranks, double per_second,
                        double burst) const;

    /// Returns the request rate of a service at a process; 0: none.
    double demand(const std::string& process, std::uint64_t service) const;
    double usable_fraction(std::size_t alive, boot_clock::time_point now) const;

    std::string self_;
    bool demand_changed_ = false;
    boot_clock::time_point demand_applied_;
    /// Those alive or silent; not those that stopped with a notice.
    absl::flat_hash_map<std::string, process_entry> processes_;
    std::vector<std::string> senders_; ///< alive and not stopping
    double fraction_ = 1;
    std::uint64_t version_ = 0;
};

} // namespace mangolink
