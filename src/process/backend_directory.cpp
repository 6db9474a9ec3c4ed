#include "process/backend_directory.hpp"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace mangolink
{

backend_directory::backend_directory(milliseconds suspicion_timeout)
    : suspicion_timeout_(suspicion_timeout)
{
}

directory_change backend_directory::put(backend_server server)
{
    const std::string id = server.id;
    const auto gone = removed_.find(id);
    if (gone != removed_.end() && server.older_than(*gone->second))
    {
        return directory_change::outdated;
    }
    auto change = directory_change::joined;
    const auto found = servers_.find(id);
    if (found != servers_.end())
    {
        const backend_server& known = *found->second.server;
        if (server.older_than(known))
        {
            return directory_change::outdated;
        }
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
    }
    directory_entry& kept = servers_[id];
    const bool changed =
        !kept.server || !kept.server->has_same_attributes(server);
    kept.suspected_until = boot_clock::time_point::max();
    kept.server = std::make_shared<const backend_server>(std::move(server));
    if (changed)
    {
        index();
    }
    return change;
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
    erase(found->first);
    index();
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
    for (const auto& [id, row] : servers_)
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
    std::vector<std::string> over;
    for (const auto& [id, row] : servers_)
    {
        if (row.suspected_until <= now)
        {
            over.push_back(id);
        }
    }
    for (const auto& id : over)
    {
        erase(id);
    }
    if (!over.empty())
    {
        index();
    }
    return over;
}

const std::vector<backend_directory::server_pointer>&
backend_directory::servers(std::string_view service) const
{
    static const std::vector<server_pointer> none;
    const auto found = by_service_.find(std::string(service));
    return found == by_service_.end() ? none : found->second;
}

backend_directory::server_pointer
backend_directory::find(std::string_view id) const
{
    const auto found = servers_.find(std::string(id));
    if (found == servers_.end() || found->second.server->leaving)
    {
        return nullptr;
    }
    return found->second.server;
}

backend_directory::server_pointer
backend_directory::find_address(std::string_view address) const
{
    for (const auto& [id, row] : servers_)
    {
        if (!row.server->leaving && row.server->address.text() == address)
        {
            return row.server;
        }
    }
    return nullptr;
}

void backend_directory::erase(const std::string& id)
{
    // Bounds what a fleet that replaces its servers for months leaves behind.
    constexpr std::size_t max_removed = 10'000;
    if (removed_.size() >= max_removed)
    {
        removed_.clear();
    }
    const auto found = servers_.find(id);
    removed_[found->first] = found->second.server;
    servers_.erase(found);
}

void backend_directory::index()
{
    by_service_.clear();
    ++version_;
    for (const auto& [id, row] : servers_)
    {
        if (!row.server->leaving)
        {
            by_service_[row.server->service].push_back(row.server);
        }
    }
    for (auto& [service, list] : by_service_)
    {
        std::sort(list.begin(), list.end(),
                  [](const auto& a, const auto& b) { return a->id < b->id; });
    }
}

} // namespace mangolink
