#pragma once

#include "base/clock.hpp"
#include "process/backend_server.hpp"
#include "process/published_entries.hpp"
#include "process/zone_evacuations.hpp"
#include "version/gateway_configuration.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

class gateway_state;
enum class directory_change : std::uint8_t;

/// Maximum age of directory entries that gateways relay to each other: a store
/// watch of 1.5 s plus a slow response. A leaving server must get no new work
/// 2.5 s after it reported that it leaves.
constexpr milliseconds max_relayed_age{1900};

/// Applies the configuration and the server entries that a platform publishes
/// to the state of a gateway, and logs every change. Not thread-safe.
class gateway_state_updater final
{
public:
    /// `on_changed` is called after each change of the usable servers or of the
    /// configuration, `on_server_gone` with the id of a server that takes no
    /// new work.
    gateway_state_updater(
        gateway_state& state, std::function<void()> on_changed,
        std::function<void(const std::string&)> on_server_gone);

    /// Installs a configuration that was the newest one at `as_of`, or, without
    /// this time, one that may not be the newest.
    void apply_configuration(gateway_configuration_data data,
                             std::optional<boot_clock::time_point> as_of);

    /// Returns the version in force, or 0 if there is none.
    std::uint64_t configuration_version() const;

    /// Returns how often to confirm the configuration, `longest` at most.
    milliseconds refresh_interval(milliseconds longest) const;

    /// Confirms that nothing newer than the current configuration existed at
    /// `as_of`.
    void confirm_configuration(boot_clock::time_point as_of);

    /// Confirms that all entries published until `as_of` have been applied.
    void confirm_entries(boot_clock::time_point as_of);

    /// Records that reading the store failed in another process.
    void record_peer_failure(boot_clock::time_point at);

    /// Returns the entries as published by the platform.
    const published_entries& entries() const { return entries_; }

    /// Returns the time since the entries were last confirmed, or nothing
    /// before the first confirmation.
    std::optional<milliseconds> entries_age(boot_clock::time_point now) const;

    /// Returns the time since the last failed store read, or nothing if the
    /// store is not disrupted.
    std::optional<milliseconds> failure_age(boot_clock::time_point now) const;

    /// Replaces all entries by a complete list of the servers read from the
    /// store. Outdated entries are not relayed to other processes.
    void replace_servers(std::vector<backend_server> servers,
                         boot_clock::time_point now);

    /// Adds or updates the servers of a list from the store that may lack some.
    void add_servers(std::vector<backend_server> servers);

    /// Replaces all entries by those that another process relays.
    void replace_relayed_servers(std::vector<backend_server> servers,
                                 boot_clock::time_point now);

    /// Adds or updates the entry of one server, read from the store or relayed
    /// by another process.
    void put(backend_server server);
    void put_relayed(backend_server server);

    /// Removes the entry of one server.
    void remove_server(const std::string& id, boot_clock::time_point now);

    /// Apply requests of the operators, read from the store: that a zone is
    /// evacuated, and that it is taken back.
    void evacuate_zone(const std::string& zone, std::uint64_t revision,
                       boot_clock::time_point now);
    void take_back_zone(const std::string& zone, boot_clock::time_point now);

    /// Replaces the evacuations by a list from the store or from another
    /// process, unless the one in force is newer.
    void replace_evacuations(const std::vector<zone_evacuation>& evacuations,
                             store_position at, boot_clock::time_point now);

    /// Adds evacuations of a list that may lack some.
    void add_evacuations(const std::vector<zone_evacuation>& evacuations,
                         boot_clock::time_point now);

    /// Confirms that all evacuations up to this position have been applied.
    void confirm_evacuations(store_position at);

    /// Records that this start of a server stated in an answer that it leaves.
    void server_leaves(const backend_server& server);

    /// Logs a published value that cannot be parsed.
    void report_invalid_value(std::string_view key, std::string_view reason);

    /// Log that the store does not answer as specified: a list cannot be read
    /// beyond the page after a key, and watches end early without a change.
    void report_partial_list(std::string_view prefix, std::string_view after);
    void report_early_watch(std::string_view operation);

    /// Records that the store came back from an older copy: entries of live
    /// servers may be missing until they are written again.
    void on_store_restored(std::uint64_t era_before, std::uint64_t era,
                           boot_clock::time_point now);

    /// Record whether the store answered a call of the given operation.
    void on_source_answered(std::string_view operation,
                            boot_clock::time_point now);
    void on_source_failed(std::string_view operation, std::string_view reason,
                          boot_clock::time_point now);

    /// Removes servers whose suspicion timeout has expired.
    void on_time(boot_clock::time_point now);

private:
    bool store_disrupted(boot_clock::time_point now) const;
    /// Logs that a server has become cold, before its entry is applied.
    void report_cold(const backend_server& entry) const;
    /// Numbers the cold period of an entry that was read from the store.
    void number_cold_period(backend_server& server) const;
    void apply(const evacuation_changes& changes, boot_clock::time_point now);
    void log_change(const backend_server& server, directory_change change,
                    std::string_view source);
    void report_removed(const std::string& id, std::string_view cause);

    gateway_state& state_;
    std::function<void()> on_changed_;
    std::function<void(const std::string&)> on_server_gone_;
    published_entries entries_;
    std::optional<boot_clock::time_point> entries_confirmed_at_;
    std::vector<std::string> failing_reads_; ///< operations that fail
    boot_clock::time_point last_failure_;
};

} // namespace mangolink
