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
struct backend_server;

/// Where an entry stands and how many agents of each pool it uses.
struct member_table_settings final
{
    std::string instance;
    std::string zone;
    std::string region;
    std::uint32_t subset_size = 24;       ///< agents of one pool
    milliseconds heartbeat_timeout{5000}; ///< without a message: suspect
    std::uint32_t ejection_failures = 5;
    milliseconds ejection_time{5000};
    double max_ejected_fraction = 0.5; ///< share of a pool
};

/// Agents that came into or went out of an entry's subset.
struct membership_change final
{
    std::vector<member_id> added;
    std::vector<member> removed;
};

/// An entry's view of the agents it may use, from the configuration, the
/// instance list and direct evidence. Used by the thread of the executor only.
class member_table final
{
public:
    explicit member_table(member_table_settings settings);

    /// Takes the backend servers of a configuration; keeps what is known of
    /// those that stay in the subset with the same address.
    membership_change apply(const configuration& next);

    /// Returns nullptr when the member was removed.
    member* find(member_id id);
    const member* find(member_id id) const;

    /// Returns nullptr when no member of the subset has this name.
    member* find_by_name(std::string_view name);

    /// Returns the members of a pool, by its index in the configuration.
    std::span<const member_id> pool(std::uint32_t index) const;

    /// Returns all members in no order.
    std::vector<member_id> all() const;

    /// Returns whether new work may be sent there now.
    bool usable(const member& candidate, boot_clock::time_point now) const;

    /// Takes a message as a sign of life; returns whether the agent is
    /// another process than before.
    bool record_message(member_id id, incarnation sender,
                        boot_clock::time_point now);

    /// Takes the load that an agent reported.
    void update_load(member_id id, const wire::load_report& load,
                     boot_clock::time_point now);

    /// Marks members by name that the instance list shows as leaving.
    void mark_leaving(std::string_view name);

    /// Count an attempt, and its end.
    void sent(member_id id, microseconds expected_work);
    void ended(member_id id);

    /// Record how an attempt went, for outlier ejection. A pool never loses
    /// more than the share max_ejected_fraction.
    void succeeded(member_id id);
    void failed(member_id id, boot_clock::time_point now);

private:
    std::vector<std::uint32_t> choose_subset(const configuration& next,
                                             std::uint32_t pool) const;
    distance distance_to(const backend_server& server) const;
    member_id keep_or_add(const backend_server& server,
                          membership_change& change);
    bool may_eject(member_id id, boot_clock::time_point now) const;

    member_table_settings settings_;
    absl::flat_hash_map<member_id, member> members_;
    absl::flat_hash_map<std::string, member_id> names_;
    std::vector<std::vector<member_id>> pools_;
    std::uint32_t next_id_ = 1;
};

} // namespace mangolink
