#include "process/peer_directory.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// An address at which nobody was heard is given up after this time.
constexpr milliseconds candidate_lifetime{15'000};

constexpr std::size_t max_candidates = 64;

/// With more processes than this, beats between regions cost more bytes than
/// fresh knowledge of servers there is worth.
constexpr std::size_t max_peers_at_full_rate = 8;
constexpr std::uint64_t far_heartbeat_interval = 3;

/// Processes that one reader of the platform serves: each asks once a second,
/// which takes some 0.3 ms.
constexpr std::size_t followers_per_reader = 24;

/// A process of the server's zone goes first. The rank must be the same in
/// every process, so nothing else that depends on the viewer counts.
int zone_preference(const peer& one, std::string_view zone)
{
    return one.stopping ? -1 : one.zone == zone ? 1 : 0;
}

} // namespace

peer_directory::peer_directory(peer_directory_settings settings)
    : settings_(std::move(settings))
{
}

peer_change peer_directory::record_heartbeat(const peer& from,
                                             boot_clock::time_point now)
{
    if (from.process_incarnation == settings_.self.process_incarnation)
    {
        return peer_change::none;
    }
    const auto found = peers_.find(from.name);
    auto change = peer_change::joined;
    if (found != peers_.end())
    {
        const peer& known = found->second.facts;
        change = known.process_incarnation != from.process_incarnation
                     ? peer_change::restarted
                 : from.stopping && !known.stopping ? peer_change::stopping
                                                    : peer_change::none;
    }
    peers_[from.name] = {from, now};
    return change;
}

void peer_directory::add_candidate(const socket_address& address,
                                   boot_clock::time_point now)
{
    if (address == settings_.self.address)
    {
        return;
    }
    const auto same = [&address](const candidate& row)
    { return row.address == address; };
    const auto known =
        std::find_if(candidates_.begin(), candidates_.end(), same);
    if (known != candidates_.end())
    {
        known->add_candidate = now;
        return;
    }
    if (candidates_.size() < max_candidates)
    {
        candidates_.push_back({address, now});
    }
}

std::vector<std::string> peer_directory::expire(boot_clock::time_point now)
{
    std::vector<std::string> silent;
    for (const auto& [name, row] : peers_)
    {
        if (now - row.record_heartbeat > (has_reduced_heartbeats(row.facts)
                                              ? settings_.far_heartbeat_timeout
                                              : settings_.heartbeat_timeout))
        {
            silent.push_back(name);
        }
    }
    for (const auto& name : silent)
    {
        // It may return at its address.
        add_candidate(peers_[name].facts.address, now);
        peers_.erase(name);
    }
    std::erase_if(candidates_, [now](const candidate& row)
                  { return now - row.add_candidate > candidate_lifetime; });
    return silent;
}

std::vector<socket_address> peer_directory::live_addresses() const
{
    std::vector<socket_address> result;
    for (const auto& [name, row] : peers_)
    {
        result.push_back(row.facts.address);
    }
    return result;
}

bool peer_directory::has_reduced_heartbeats(const peer& one) const
{
    const auto& near = settings_.region_zones;
    return peers_.size() > max_peers_at_full_rate && !near.empty() &&
           std::find(near.begin(), near.end(), one.zone) == near.end();
}

std::vector<socket_address>
peer_directory::heartbeat_targets(std::uint64_t beat) const
{
    std::vector<socket_address> result;
    for (const auto& [name, row] : peers_)
    {
        if (beat % far_heartbeat_interval == 0 ||
            !has_reduced_heartbeats(row.facts))
        {
            result.push_back(row.facts.address);
        }
    }
    for (const auto& row : candidates_)
    {
        if (std::find(result.begin(), result.end(), row.address) ==
            result.end())
        {
            result.push_back(row.address);
        }
    }
    return result;
}

const peer* peer_directory::owner_of(std::string_view server,
                                     std::string_view zone) const
{
    const auto rank = [server](const peer& one)
    { return stable_hash(server, stable_hash(one.name)); };
    const peer* best = &settings_.self;
    int best_nearness = zone_preference(*best, zone);
    for (const auto& [name, row] : peers_)
    {
        const int near = zone_preference(row.facts, zone);
        if (near > best_nearness ||
            (near == best_nearness && rank(row.facts) > rank(*best)))
        {
            best = &row.facts;
            best_nearness = near;
        }
    }
    return best == &settings_.self ? nullptr : best;
}

std::vector<const peer*> peer_directory::readers() const
{
    std::vector<const peer*> all;
    if (!settings_.self.stopping)
    {
        all.push_back(&settings_.self);
    }
    for (const auto& [name, row] : peers_)
    {
        if (row.facts.zone == settings_.self.zone && !row.facts.stopping)
        {
            all.push_back(&row.facts);
        }
    }
    std::sort(all.begin(), all.end(),
              [](const peer* a, const peer* b)
              { return stable_hash(a->name) > stable_hash(b->name); });
    const auto count = 1 + all.size() / followers_per_reader;
    all.resize(std::min(all.size(), count));
    return all;
}

const peer* peer_directory::find(std::string_view name) const
{
    const auto found = peers_.find(std::string(name));
    return found == peers_.end() ? nullptr : &found->second.facts;
}

std::size_t peer_directory::max_recent_processes(boot_clock::time_point now)
{
    while (!counts_.empty() &&
           now - counts_.front().at > settings_.process_count_window)
    {
        counts_.pop_front();
    }
    counts_.push_back({now, peers_.size() + 1});
    std::size_t most = 1;
    for (const auto& sample : counts_)
    {
        most = std::max(most, sample.count);
    }
    return most;
}

} // namespace mangolink
