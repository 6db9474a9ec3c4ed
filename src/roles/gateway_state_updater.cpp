#include "roles/gateway_state_updater.hpp"

#include "base/log.hpp"
#include "process/backend_directory.hpp"
#include "roles/gateway_state.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// How long after a failed call entries may still be missing because they
/// expired while the store was unavailable. Covers the backoff of the reader
/// and the time in which the servers register again.
constexpr milliseconds disruption_grace_period{3500};

/// Reports of one cold period differ by less than this, as they arrive with
/// varying delay.
constexpr milliseconds cold_end_tolerance{1000};

} // namespace

gateway_state_updater::gateway_state_updater(
    gateway_state& state, std::function<void()> on_changed,
    std::function<void(const std::string&)> on_server_gone)
    : state_(state), on_changed_(std::move(on_changed)),
      on_server_gone_(std::move(on_server_gone))
{
}

void gateway_state_updater::apply_configuration(
    gateway_configuration_data data,
    std::optional<boot_clock::time_point> as_of)
{
    const auto next =
        std::make_shared<const gateway_configuration>(std::move(data));
    const auto previous = state_.configuration();
    if (state_.install(next))
    {
        log_notice("configuration", "New configuration in force.",
                   {{"version", std::to_string(next->version())},
                    {"before",
                     previous ? std::to_string(previous->version()) : "none"},
                    {"routes", std::to_string(next->route_count())}});
        if (as_of)
        {
            state_.freshness().confirm(*as_of);
        }
        on_changed_();
        return;
    }
    if (next->version() == previous->version())
    {
        if (as_of)
        {
            state_.freshness().confirm(*as_of);
        }
        return;
    }
    log_warning("configuration", "Older version ignored.",
                {{"version", std::to_string(next->version())},
                 {"in_force", std::to_string(previous->version())}});
}

std::uint64_t gateway_state_updater::configuration_version() const
{
    return state_.configuration_version();
}

milliseconds gateway_state_updater::refresh_interval(milliseconds longest) const
{
    return state_.configuration() ? state_.freshness().refresh_interval(longest)
                                  : longest; // there are no keys to trust
}

void gateway_state_updater::confirm_configuration(boot_clock::time_point as_of)
{
    state_.freshness().confirm(as_of);
}

void gateway_state_updater::confirm_entries(boot_clock::time_point as_of)
{
    entries_confirmed_at_ =
        entries_confirmed_at_ ? std::max(*entries_confirmed_at_, as_of) : as_of;
}

void gateway_state_updater::record_peer_failure(boot_clock::time_point at)
{
    last_failure_ = std::max(last_failure_, at);
}

std::optional<milliseconds>
gateway_state_updater::entries_age(boot_clock::time_point now) const
{
    return entries_confirmed_at_
               ? std::optional(std::chrono::duration_cast<milliseconds>(
                     now - *entries_confirmed_at_))
               : std::nullopt;
}

std::optional<milliseconds>
gateway_state_updater::failure_age(boot_clock::time_point now) const
{
    return store_disrupted(now)
               ? std::optional(std::chrono::duration_cast<milliseconds>(
                     now - last_failure_))
               : std::nullopt;
}

void gateway_state_updater::replace_servers(std::vector<backend_server> servers,
                                            boot_clock::time_point now)
{
    const backend_directory& directory = state_.directory();
    std::vector<backend_server> current;
    current.reserve(servers.size());
    for (auto& server : servers)
    {
        if (!directory.is_outdated(server))
        {
            number_cold_period(server);
            current.push_back(std::move(server));
        }
        else if (const auto known = directory.known(server.id))
        {
            current.push_back(*known);
        }
    }
    replace_relayed_servers(std::move(current), now);
}

void gateway_state_updater::add_servers(std::vector<backend_server> servers)
{
    for (auto& server : servers)
    {
        put(std::move(server));
    }
    state_.mark_servers_listed();
}

void gateway_state_updater::replace_relayed_servers(
    std::vector<backend_server> servers, boot_clock::time_point now)
{
    entries_.replace_all(servers);
    for (const auto& server : servers)
    {
        report_cold(server);
    }
    const std::size_t count = servers.size();
    const bool disrupted = store_disrupted(now);
    const auto previous = state_.directory().version();
    const auto missing =
        state_.directory().replace_all(std::move(servers), disrupted, now);
    for (const auto& id : missing)
    {
        if (!disrupted)
        {
            report_removed(id, "not listed");
        }
    }
    state_.mark_servers_listed();
    log_notice("directory", "Listed.",
               {{"servers", std::to_string(count)},
                {"missing", std::to_string(missing.size())},
                {"missing_are", disrupted ? "suspected" : "removed"}});
    if (state_.directory().version() != previous)
    {
        on_changed_();
    }
}

void gateway_state_updater::put(backend_server server)
{
    if (state_.directory().is_outdated(server))
    {
        log_change(server, directory_change::outdated, "published");
        return;
    }
    number_cold_period(server);
    put_relayed(std::move(server));
}

void gateway_state_updater::put_relayed(backend_server server)
{
    const backend_server entry = server;
    entries_.put(entry);
    report_cold(entry);
    const auto change = state_.directory().put(std::move(server));
    if (change == directory_change::none)
    {
        return;
    }
    log_change(entry, change, "published");
    on_changed_();
}

void gateway_state_updater::remove_server(const std::string& id,
                                          boot_clock::time_point now)
{
    entries_.remove(id);
    const auto change =
        state_.directory().remove(id, store_disrupted(now), now);
    if (change == directory_change::removed)
    {
        report_removed(id, "entry removed");
        on_changed_();
    }
    else if (change == directory_change::suspected)
    {
        log_notice("directory", "Entry expired during a store disruption.",
                   {{"server", id}});
        on_changed_();
    }
}

void gateway_state_updater::evacuate_zone(const std::string& zone,
                                          std::uint64_t revision,
                                          boot_clock::time_point now)
{
    apply(state_.evacuations().begin(zone, revision, now), now);
}

void gateway_state_updater::take_back_zone(const std::string& zone,
                                           boot_clock::time_point now)
{
    apply(state_.evacuations().end(zone), now);
}

void gateway_state_updater::replace_evacuations(
    const std::vector<zone_evacuation>& evacuations, store_position at,
    boot_clock::time_point now)
{
    apply(state_.evacuations().replace(evacuations, at, now), now);
}

void gateway_state_updater::add_evacuations(
    const std::vector<zone_evacuation>& evacuations, boot_clock::time_point now)
{
    apply(state_.evacuations().add(evacuations, now), now);
}

void gateway_state_updater::confirm_evacuations(store_position at)
{
    state_.evacuations().confirm(at);
}

void gateway_state_updater::apply(const evacuation_changes& changes,
                                  boot_clock::time_point now)
{
    if (changes.empty())
    {
        return;
    }
    for (const auto& evacuation : changes.begun)
    {
        log_notice("directory", "Zone is evacuated.",
                   {{"zone", evacuation.zone},
                    {"revision", std::to_string(evacuation.revision)}});
    }
    for (const auto& evacuation : changes.ended)
    {
        const auto lasted = std::chrono::duration_cast<milliseconds>(
            now - evacuation.known_since);
        log_notice("directory", "Zone is taken back.",
                   {{"zone", evacuation.zone},
                    {"revision", std::to_string(evacuation.revision)},
                    {"evacuated_ms", std::to_string(lasted.count())}});
    }
    state_.directory().set_evacuated_zones(state_.evacuations().zones(), now);
    on_changed_();
}

void gateway_state_updater::report_cold(const backend_server& entry) const
{
    const auto known = state_.directory().known(entry.id);
    if (entry.cold_period != 0 &&
        (!known || known->cold_period != entry.cold_period))
    {
        log_notice("directory", "Server is cold.",
                   {{"server", entry.id},
                    {"service", entry.service},
                    {"zone", entry.zone},
                    {"period", std::to_string(entry.cold_period)}});
    }
}

void gateway_state_updater::number_cold_period(backend_server& server) const
{
    if (server.cold_until == boot_clock::time_point{})
    {
        return;
    }
    const auto known = state_.directory().known(server.id);
    const bool same_period =
        known && known->started_ms == server.started_ms &&
        known->cold_period != 0 &&
        std::chrono::abs(known->cold_until - server.cold_until) <=
            cold_end_tolerance;
    server.cold_period = same_period ? known->cold_period : server.sequence + 1;
}

void gateway_state_updater::server_leaves(const backend_server& server)
{
    const auto change = state_.directory().mark_leaving(server);
    if (change != directory_change::none)
    {
        log_change(server, change, "stated in an answer");
        on_changed_();
    }
}

void gateway_state_updater::report_invalid_value(std::string_view key,
                                                 std::string_view reason)
{
    log_warning("platform", "Ignored a published value that cannot be parsed.",
                {{"key", std::string(key)}, {"reason", std::string(reason)}});
}

void gateway_state_updater::report_partial_list(std::string_view prefix,
                                                std::string_view after)
{
    log_warning(
        "platform", "List cannot be read to its end.",
        {{"prefix", std::string(prefix)}, {"after", std::string(after)}});
}

void gateway_state_updater::report_early_watch(std::string_view operation)
{
    log_warning("platform", "Watch ended early without a change.",
                {{"for", std::string(operation)}});
}

void gateway_state_updater::on_source_answered(std::string_view operation,
                                               boot_clock::time_point now)
{
    const auto found =
        std::find(failing_reads_.begin(), failing_reads_.end(), operation);
    if (found == failing_reads_.end())
    {
        return;
    }
    failing_reads_.erase(found);
    last_failure_ = now;
    log_notice("platform", "Store answers again.",
               {{"for", std::string(operation)}});
}

void gateway_state_updater::on_source_failed(std::string_view operation,
                                             std::string_view reason,
                                             boot_clock::time_point now)
{
    last_failure_ = now;
    if (std::find(failing_reads_.begin(), failing_reads_.end(), operation) !=
        failing_reads_.end())
    {
        return;
    }
    failing_reads_.emplace_back(operation);
    const auto age = state_.freshness().age(now);
    log_warning(
        "platform", "Store does not answer.",
        {{"for", std::string(operation)},
         {"reason", std::string(reason)},
         {"confirmed_ms_ago", age ? std::to_string(age->count()) : "never"}});
}

void gateway_state_updater::on_store_restored(std::uint64_t era_before,
                                              std::uint64_t era,
                                              boot_clock::time_point now)
{
    last_failure_ = now;
    log_warning("platform", "Store came back from an older copy.",
                {{"era_before", std::to_string(era_before)},
                 {"era", std::to_string(era)}});
}

void gateway_state_updater::on_time(boot_clock::time_point now)
{
    const auto expired = state_.directory().expire(now);
    for (const auto& id : expired)
    {
        report_removed(id, "entry did not return");
    }
    if (!expired.empty())
    {
        on_changed_();
    }
}

bool gateway_state_updater::store_disrupted(boot_clock::time_point now) const
{
    return last_failure_ != boot_clock::time_point{} &&
           now - last_failure_ < disruption_grace_period;
}

void gateway_state_updater::log_change(const backend_server& server,
                                       directory_change change,
                                       std::string_view source)
{
    static constexpr const char* names[] = {
        "unchanged", "outdated report ignored",
        "joined",    "updated",
        "restarted", "leaving",
        "suspected", "removed"};
    log_notice("directory", names[static_cast<std::size_t>(change)],
               {{"server", server.id},
                {"source", std::string(source)},
                {"service", server.service},
                {"address", server.address.text()},
                {"zone", server.zone},
                {"started_ms", std::to_string(server.started_ms)},
                {"sequence", std::to_string(server.sequence)}});
    if (change == directory_change::leaving ||
        change == directory_change::restarted)
    {
        on_server_gone_(server.id);
    }
}

void gateway_state_updater::report_removed(const std::string& id,
                                           std::string_view cause)
{
    log_notice("directory", "Server removed.",
               {{"server", id}, {"why", std::string(cause)}});
    on_server_gone_(id);
}

} // namespace mangolink
