#include "roles/gateway_state_updater.hpp"

#include "base/log.hpp"
#include "process/backend_directory.hpp"
#include "roles/gateway_state.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// How long after a failed call entries may still be missing that lapsed
/// while the source was away: its back-off and the time for their return.
constexpr milliseconds disturbance_echo{3500};

} // namespace

gateway_feed::gateway_feed(gateway_state& state, std::function<void()> changed,
                           std::function<void(const std::string&)> gone)
    : state_(state), changed_(std::move(changed)), gone_(std::move(gone))
{
}

void gateway_feed::configuration(gateway_configuration_parts parts,
                                 boot_clock::time_point as_of)
{
    const auto next =
        std::make_shared<const gateway_configuration>(std::move(parts));
    const auto before = state_.configuration();
    if (state_.install(next))
    {
        log_notice(
            "configuration", "In force.",
            {{"version", std::to_string(next->version())},
             {"before", before ? std::to_string(before->version()) : "none"},
             {"routes", std::to_string(next->route_count())}});
        state_.freshness().confirm(as_of);
        changed_();
        return;
    }
    if (next->version() == before->version())
    {
        state_.freshness().confirm(as_of);
        return;
    }
    log_warning("configuration", "Older version ignored.",
                {{"version", std::to_string(next->version())},
                 {"in_force", std::to_string(before->version())}});
}

void gateway_feed::confirmed(boot_clock::time_point as_of)
{
    state_.freshness().confirm(as_of);
}

void gateway_feed::entries_confirmed(boot_clock::time_point as_of)
{
    entries_confirmed_ =
        entries_confirmed_ ? std::max(*entries_confirmed_, as_of) : as_of;
}

void gateway_feed::failed_elsewhere(boot_clock::time_point at)
{
    last_failure_ = std::max(last_failure_, at);
}

std::optional<milliseconds>
gateway_feed::entries_age(boot_clock::time_point now) const
{
    return entries_confirmed_
               ? std::optional(std::chrono::duration_cast<milliseconds>(
                     now - *entries_confirmed_))
               : std::nullopt;
}

std::optional<milliseconds>
gateway_feed::failure_age(boot_clock::time_point now) const
{
    return disturbed(now)
               ? std::optional(std::chrono::duration_cast<milliseconds>(
                     now - last_failure_))
               : std::nullopt;
}

void gateway_feed::listed(std::vector<backend_server> servers,
                          boot_clock::time_point now)
{
    entries_.replace_all(servers);
    const std::size_t count = servers.size();
    const bool unsure = disturbed(now);
    const auto before = state_.directory().version();
    const auto missing =
        state_.directory().replace_all(std::move(servers), unsure, now);
    for (const auto& id : missing)
    {
        if (!unsure)
        {
            report_gone(id, "not listed");
        }
    }
    state_.servers_listed();
    log_notice("directory", "Listed.",
               {{"servers", std::to_string(count)},
                {"missing", std::to_string(missing.size())},
                {"missing_are", unsure ? "suspected" : "removed"}});
    if (state_.directory().version() != before)
    {
        changed_();
    }
}

void gateway_feed::put(backend_server server)
{
    const backend_server copy = server;
    entries_.put(copy);
    const auto change = state_.directory().put(std::move(server));
    if (change == directory_change::none)
    {
        return;
    }
    report(copy, change);
    changed_();
}

void gateway_feed::removed(const std::string& id, boot_clock::time_point now)
{
    entries_.remove(id);
    const auto change = state_.directory().remove(id, disturbed(now), now);
    if (change == directory_change::removed)
    {
        report_gone(id, "entry removed");
        changed_();
    }
    else if (change == directory_change::suspected)
    {
        log_notice("directory", "Entry lapsed near a disturbance.",
                   {{"server", id}});
        changed_();
    }
}

void gateway_feed::unreadable(std::string_view key, std::string_view reason)
{
    log_warning("platform", "Value ignored: it can't be read.",
                {{"key", std::string(key)}, {"reason", std::string(reason)}});
}

void gateway_feed::source_answered(std::string_view what,
                                   boot_clock::time_point now)
{
    const auto found = std::find(failing_.begin(), failing_.end(), what);
    if (found == failing_.end())
    {
        return;
    }
    failing_.erase(found);
    last_failure_ = now;
    log_notice("platform", "Store answers again.",
               {{"for", std::string(what)}});
}

void gateway_feed::source_failed(std::string_view what, std::string_view reason,
                                 boot_clock::time_point now)
{
    last_failure_ = now;
    if (std::find(failing_.begin(), failing_.end(), what) != failing_.end())
    {
        return;
    }
    failing_.emplace_back(what);
    const auto age = state_.freshness().age(now);
    log_warning(
        "platform", "Store does not answer.",
        {{"for", std::string(what)},
         {"reason", std::string(reason)},
         {"confirmed_ms_ago", age ? std::to_string(age->count()) : "never"}});
}

void gateway_feed::on_time(boot_clock::time_point now)
{
    const auto over = state_.directory().expire(now);
    for (const auto& id : over)
    {
        report_gone(id, "entry did not return");
    }
    if (!over.empty())
    {
        changed_();
    }
}

bool gateway_feed::disturbed(boot_clock::time_point now) const
{
    return last_failure_ != boot_clock::time_point{} &&
           now - last_failure_ < disturbance_echo;
}

void gateway_feed::report(const backend_server& server, directory_change change)
{
    static constexpr const char* names[] = {
        "unchanged", "outdated report ignored",
        "joined",    "restarted",
        "leaving",   "suspected",
        "removed"};
    log_notice("directory", names[static_cast<std::size_t>(change)],
               {{"server", server.id},
                {"service", server.service},
                {"address", server.address.text()},
                {"zone", server.zone},
                {"started_ms", std::to_string(server.started_ms)},
                {"sequence", std::to_string(server.sequence)}});
    if (change == directory_change::leaving ||
        change == directory_change::restarted)
    {
        gone_(server.id);
    }
}

void gateway_feed::report_gone(const std::string& id, std::string_view why)
{
    log_notice("directory", "Server gone.",
               {{"server", id}, {"why", std::string(why)}});
    gone_(id);
}

} // namespace mangolink
