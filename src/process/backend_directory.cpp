#include "process/backend_directory.hpp"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace mangolink
{
namespace
{

/// Bounds the memory of a fleet that replaces its servers for months.
constexpr std::size_t max_remembered = 10'000;

/// Time after an evacuation in which a server that became cold has reported so:
/// its report interval and the way of the report.
constexpr milliseconds presumed_cold_time{2500};

} // namespace

backend_directory::backend_directory(milliseconds suspicion_timeout,
                                     placement place,
                                     const region_table& regions)
    : suspicion_timeout_(suspicion_timeout), by_service_(regions),
      groups_(std::move(place), regions)
{
}

directory_change backend_directory::put(backend_server server)
{
    if (is_outdated(server))
    {
        return directory_change::outdated;
    }
    const std::string id = server.id;
    const auto marked = marked_leaving_.find(id);
    server.leaving = server.leaving || (marked != marked_leaving_.end() &&
                                        marked->second == server.started_ms);
    auto change = directory_change::joined;
    const auto found = servers_.find(id);
    if (found != servers_.end())
    {
        const backend_server& known = *found->second.server;
        change = directory_change::none;
        if (known.started_ms != server.started_ms ||
            known.address != server.address)
        {
            change = directory_change::restarted;
        }
        else if (server.leaving && !known.leaving)
        {
            change = directory_change::leaving;
        }
        else if (!known.has_same_attributes(server))
        {
            change = directory_change::updated;
        }
    }
    const auto presumed = presumed_cold_.find(server.zone);
    if (presumed != presumed_cold_.end())
    {
        server.cold_until = std::max(server.cold_until, presumed->second);
    }
    directory_entry& stored = servers_[id];
    const bool changed =
        !stored.server || !stored.server->has_same_attributes(server);
    stored.suspected_until = boot_clock::time_point::max();
    stored.server = std::make_shared<const backend_server>(std::move(server));
    if (changed)
    {
        mark_changed();
    }
    return change;
}

directory_change backend_directory::mark_leaving(const backend_server& server)
{
    if (marked_leaving_.size() >= max_remembered)
    {
        marked_leaving_.clear();
    }
    std::uint64_t& marked = marked_leaving_[server.id];
    marked = std::max(marked, server.started_ms);
    const auto found = servers_.find(server.id);
    if (found == servers_.end() || found->second.server->leaving ||
        found->second.server->started_ms != server.started_ms)
    {
        return directory_change::none;
    }
    auto leaving = std::make_shared<backend_server>(*found->second.server);
    leaving->leaving = true;
    found->second.server = std::move(leaving);
    mark_changed();
    return directory_change::leaving;
}

bool backend_directory::is_outdated(const backend_server& server) const
{
    const auto found = servers_.find(server.id);
    if (found != servers_.end())
    {
        const backend_server& last = *found->second.server;
        return server.older_than(last) ||
               (last.leaving && !server.leaving && !last.older_than(server));
    }
    const auto removed = removed_.find(server.id);
    if (removed == removed_.end())
    {
        return false;
    }
    const backend_server& last = *removed->second.server;
    return server.older_than(last) ||
           (removed->second.has_left && !last.older_than(server));
}

backend_directory::server_pointer
backend_directory::known(std::string_view id) const
{
    const auto found = servers_.find(std::string(id));
    return found == servers_.end() ? nullptr : found->second.server;
}

directory_change backend_directory::remove(std::string_view id,
                                           bool store_disrupted,
                                           boot_clock::time_point now)
{
    const auto found = servers_.find(std::string(id));
    if (found == servers_.end())
    {
        return directory_change::none;
    }
    if (store_disrupted && !found->second.server->leaving)
    {
        found->second.suspected_until =
            std::min(found->second.suspected_until, now + suspicion_timeout_);
        return directory_change::suspected;
    }
    erase(found->first, true);
    mark_changed();
    return directory_change::removed;
}

std::vector<std::string>
backend_directory::replace_all(std::vector<backend_server> servers,
                               bool store_disrupted, boot_clock::time_point now)
{
    absl::flat_hash_set<std::string> listed;
    for (auto& server : servers)
    {
        listed.insert(server.id);
        put(std::move(server));
    }
    std::vector<std::string> missing;
    for (const auto& [id, entry] : servers_)
    {
        if (!listed.contains(id))
        {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing)
    {
        remove(id, store_disrupted, now);
    }
    return missing;
}

std::vector<std::string> backend_directory::expire(boot_clock::time_point now)
{
    std::vector<std::string> expired;
    for (const auto& [id, entry] : servers_)
    {
        if (entry.suspected_until <= now)
        {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired)
    {
        erase(id, false);
    }
    if (!expired.empty())
    {
        mark_changed();
    }
    return expired;
}

void backend_directory::set_evacuated_zones(
    absl::flat_hash_set<std::string> zones, boot_clock::time_point now)
{
    absl::erase_if(presumed_cold_,
                   [now](const auto& pair) { return pair.second <= now; });
    for (const auto& zone : evacuated_zones_)
    {
        if (!zones.contains(zone))
        {
            presumed_cold_[zone] = now + presumed_cold_time;
        }
    }
    evacuated_zones_ = std::move(zones);
    for (auto& [id, entry] : servers_)
    {
        const auto presumed = presumed_cold_.find(entry.server->zone);
        if (presumed != presumed_cold_.end() &&
            entry.server->cold_until < presumed->second)
        {
            auto cold = std::make_shared<backend_server>(*entry.server);
            cold->cold_until = presumed->second;
            entry.server = std::move(cold);
        }
    }
    mark_changed();
}

bool backend_directory::accepts_work(const backend_server& server) const
{
    return !server.leaving && !evacuated_zones_.contains(server.zone);
}

const std::vector<backend_directory::server_pointer>&
backend_directory::servers(std::string_view service, region_set regions) const
{
    index();
    return by_service_.of(service, regions);
}

const server_groups& backend_directory::groups() const
{
    index();
    return groups_;
}

backend_directory::server_pointer
backend_directory::find(std::string_view id) const
{
    const auto found = servers_.find(std::string(id));
    if (found == servers_.end() || !accepts_work(*found->second.server))
    {
        return nullptr;
    }
    return found->second.server;
}

std::vector<backend_directory::server_pointer> backend_directory::all() const
{
    std::vector<server_pointer> result;
    result.reserve(servers_.size());
    for (const auto& [id, entry] : servers_)
    {
        result.push_back(entry.server);
    }
    return result;
}

std::size_t backend_directory::cold(boot_clock::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        servers_.begin(), servers_.end(),
        [now](const auto& pair) { return pair.second.server->is_cold(now); }));
}

backend_directory::server_pointer
backend_directory::find_address(std::string_view address) const
{
    index();
    const auto found = by_address_.find(std::string(address));
    return found == by_address_.end() ? nullptr : found->second;
}

void backend_directory::erase(const std::string& id, bool has_left)
{
    if (removed_.size() >= max_remembered)
    {
        removed_.clear();
    }
    const auto found = servers_.find(id);
    removed_[found->first] = {found->second.server, has_left};
    servers_.erase(found);
}

void backend_directory::mark_changed()
{
    ++version_;
    indexed_ = false;
}

void backend_directory::index() const
{
    if (indexed_)
    {
        return;
    }
    indexed_ = true;
    server_groups::servers_by_service by_service;
    by_address_.clear();
    for (const auto& [id, entry] : servers_)
    {
        if (accepts_work(*entry.server))
        {
            by_service[entry.server->service].push_back(entry.server);
            by_address_[entry.server->address.text()] = entry.server;
        }
    }
    for (auto& [service, list] : by_service)
    {
        std::sort(list.begin(), list.end(),
                  [](const auto& a, const auto& b) { return a->id < b->id; });
    }
    groups_.rebuild(by_service);
    by_service_.replace(std::move(by_service));
}

} // namespace mangolink
