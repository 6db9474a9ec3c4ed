#pragma once

#include "process/member.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace mangolink::wire
{
class load_report;
}

namespace mangolink
{

class configuration;
struct configured_server;

/// Location of an entry, size of its agent subsets and ejection parameters.
struct member_table_settings final
{
    std::string instance;
    std::string zone;
    std::string region;
    std::uint32_t subset_size = 24; ///< maximum number of agents of one pool
    milliseconds heartbeat_timeout{5000}; ///< without a message: unusable
    std::uint32_t ejection_failures = 5;
    milliseconds ejection_time{5000};
    double max_ejected_fraction = 0.5; ///< fraction of a pool
};

/// Agents that were added to or removed from the subset of an entry.
struct membership_change final
{
    std::vector<member_id> added;
    std::vector<member> removed;
};

/// Agents that an entry may use, from the configuration, the instance list and
/// the messages and failures of the agents. Used only on the thread of the
/// executor.
class member_table final
{
public:
    explicit member_table(member_table_settings settings);

    /// Applies the backend servers of a configuration. Keeps the state of those
    /// that stay in the subset with the same address.
    membership_change apply(const configuration& next);

    /// Returns nullptr if the member was removed.
    member* find(member_id id);
    const member* find(member_id id) const;

    /// Returns nullptr if no member of the subset has this name.
    member* find_by_name(std::string_view name);

    /// Returns the members of a pool, by its index in the configuration.
    std::span<const member_id> pool(std::uint32_t index) const;

    /// Returns all members in unspecified order.
    std::vector<member_id> all() const;

    /// Returns whether new work may be sent to the member now.
    bool usable(const member& candidate, boot_clock::time_point now) const;

    /// Records that a message arrived from an agent. Returns whether its
    /// process was replaced by another one.
    bool record_message(member_id id, incarnation sender,
                        boot_clock::time_point now);

    /// Stores the load that an agent reported.
    void update_load(member_id id, const wire::load_report& load,
                     boot_clock::time_point now);

    /// Marks the member of this name as leaving.
    void mark_leaving(std::string_view name);

    /// Count the start and the end of an attempt.
    void sent(member_id id, microseconds expected_work);
    void ended(member_id id);

    /// Record the outcome of an attempt for outlier ejection. No more than
    /// max_ejected_fraction of a pool is ejected at a time.
    void succeeded(member_id id);
    void failed(member_id id, boot_clock::time_point now);

private:
    std::vector<std::uint32_t> choose_subset(const configuration& next,
                                             std::uint32_t pool) const;
    distance distance_to(const configured_server& server) const;
    member_id keep_or_add(const configured_server& server,
                          membership_change& change);
    bool may_eject(member_id id, boot_clock::time_point now) const;

    member_table_settings settings_;
    absl::flat_hash_map<member_id, member> members_;
    absl::flat_hash_map<std::string, member_id> names_;
    std::vector<std::vector<member_id>> pools_;
    std::uint32_t next_id_ = 1;
};

} // namespace mangolink
