#include "process/server_holds.hpp"

#include "process/backend_server.hpp"

#include <algorithm>

namespace mangolink
{

bool server_holds::hold(const backend_server& server, milliseconds time,
                        boot_clock::time_point now)
{
    absl::erase_if(holds_, [now](const auto& pair)
                   { return pair.second.until <= now; });
    server_hold& entry = holds_[server.id];
    if (entry.started_ms > server.started_ms)
    {
        return false; // a late answer of the start before
    }
    const bool known = entry.until > now;
    const bool same_start = known && entry.started_ms == server.started_ms;
    const auto until = now + time;
    entry.until = same_start ? std::max(entry.until, until) : until;
    entry.started_ms = server.started_ms;
    return !same_start;
}

milliseconds server_holds::remaining(const backend_server& server,
                                     boot_clock::time_point now) const
{
    const auto found = holds_.find(server.id);
    if (found == holds_.end() ||
        found->second.started_ms != server.started_ms ||
        found->second.until <= now)
    {
        return milliseconds(0);
    }
    return std::chrono::ceil<milliseconds>(found->second.until - now);
}

std::optional<milliseconds>
server_holds::remaining_of_all(const std::vector<server_pointer>& servers,
                               boot_clock::time_point now) const
{
    std::optional<milliseconds> first;
    for (const auto& server : servers)
    {
        const auto time = remaining(*server, now);
        if (time == milliseconds(0))
        {
            return std::nullopt;
        }
        first = first ? std::min(*first, time) : time;
    }
    return first;
}

} // namespace mangolink
