#include "process/peer_directory.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// A candidate address without a heartbeat is removed after this time.
constexpr milliseconds candidate_lifetime{15'000};

constexpr std::size_t max_candidates = 64;

/// Above this number of peers the traffic of heartbeats to distant processes
/// costs more than up-to-date load data of remote servers is worth.
constexpr std::size_t max_peers_at_full_rate = 8;

/// Up to this number of nearby peers are told of single requests.
constexpr std::size_t max_nearby_peers = 24;

/// One in this many heartbeats is sent to a process, by the kind of heartbeat
/// and the distance (same zone, same region, another region). Few processes
/// send load reports, by which all others choose between zones.
constexpr std::uint64_t heartbeat_strides[][3] = {{1, 3, 9}, {1, 2, 4}};

/// Number of processes that one reader of the platform serves. Each of them
/// polls it once a second, which takes about 0.3 ms.
constexpr std::size_t followers_per_reader = 24;

/// Prefers processes in the zone of the server. The result must be the same in
/// every process, so it must not depend on the process that evaluates it, apart
/// from suspicions.
int zone_preference(const peer& process, bool suspected, std::string_view zone)
{
    return process.stopping || suspected ? -1 : process.zone == zone ? 1 : 0;
}

} // namespace

peer_directory::peer_directory(peer_directory_settings settings)
    : settings_(std::move(settings)), place_{settings_.self.name,
                                             settings_.self.zone,
                                             settings_.region_zones}
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
        const peer& known = found->second.info;
        change = known.process_incarnation != from.process_incarnation
                     ? peer_change::restarted
                 : from.stopping && !known.stopping ? peer_change::stopping
                                                    : peer_change::none;
    }
    if (change != peer_change::none)
    {
        if (found != peers_.end())
        {
            peer_addresses_.erase(found->second.info.address);
        }
        peer_addresses_.insert(from.address);
        std::erase_if(candidates_, [&from](const candidate& entry)
                      { return entry.address == from.address; });
    }
    peers_[from.name] = {from, now};
    return change;
}

void peer_directory::add_candidate(const socket_address& address,
                                   boot_clock::time_point now)
{
    if (address == settings_.self.address || peer_addresses_.contains(address))
    {
        return;
    }
    const auto same = [&address](const candidate& entry)
    { return entry.address == address; };
    const auto known =
        std::find_if(candidates_.begin(), candidates_.end(), same);
    if (known != candidates_.end())
    {
        known->last_seen = now;
        return;
    }
    if (candidates_.size() < max_candidates)
    {
        candidates_.push_back({address, now});
    }
}

std::vector<std::string> peer_directory::expire(boot_clock::time_point now)
{
    std::vector<std::string> unresponsive;
    for (const auto& [name, entry] : peers_)
    {
        if (now - entry.last_heartbeat > heartbeat_timeout(entry.info))
        {
            unresponsive.push_back(name);
        }
    }
    for (const auto& name : unresponsive)
    {
        // The peer may come back at the same address.
        const socket_address address = peers_[name].info.address;
        peer_addresses_.erase(address);
        add_candidate(address, now);
        peers_.erase(name);
    }
    std::erase_if(candidates_, [now](const candidate& entry)
                  { return now - entry.last_seen > candidate_lifetime; });
    return unresponsive;
}

std::vector<const peer*> peer_directory::all() const
{
    std::vector<const peer*> result;
    for (const auto& [name, entry] : peers_)
    {
        result.push_back(&entry.info);
    }
    return result;
}

std::vector<socket_address> peer_directory::live_addresses() const
{
    std::vector<socket_address> result;
    for (const auto& [name, entry] : peers_)
    {
        result.push_back(entry.info.address);
    }
    return result;
}

distance peer_directory::distance_to(const peer& process) const
{
    return settings_.region_zones.empty() ? distance::same_zone
                                          : place_.to(process.zone);
}

std::uint64_t peer_directory::heartbeat_stride(const peer& process,
                                               heartbeat_kind kind) const
{
    const auto& strides = heartbeat_strides[static_cast<std::size_t>(kind)];
    return peers_.size() > max_peers_at_full_rate
               ? strides[static_cast<std::size_t>(distance_to(process))]
               : 1;
}

milliseconds peer_directory::heartbeat_timeout(const peer& process) const
{
    constexpr int missed_heartbeats = 3;
    const auto stride = static_cast<std::int64_t>(
        heartbeat_stride(process, heartbeat_kind::liveness));
    return process.heartbeat_interval * stride * missed_heartbeats +
           settings_.silence_margin;
}

double peer_directory::mean_heartbeat_targets(heartbeat_kind kind) const
{
    double mean = 0;
    for (const auto& [name, entry] : peers_)
    {
        mean += 1.0 / static_cast<double>(heartbeat_stride(entry.info, kind));
    }
    return mean;
}

std::vector<socket_address>
peer_directory::heartbeat_targets(std::uint64_t heartbeat_number,
                                  heartbeat_kind kind) const
{
    std::vector<socket_address> result;
    for (const auto& [name, entry] : peers_)
    {
        if (heartbeat_number % heartbeat_stride(entry.info, kind) == 0)
        {
            result.push_back(entry.info.address);
        }
    }
    for (const auto& entry : candidates_)
    {
        result.push_back(entry.address);
    }
    return result;
}

std::vector<socket_address>
peer_directory::nearby_addresses(bool zone_only) const
{
    std::vector<socket_address> result;
    for (const auto& [name, entry] : peers_)
    {
        const auto way = place_.to(entry.info.zone);
        if (way == distance::same_zone ||
            (!zone_only && way == distance::same_region))
        {
            result.push_back(entry.info.address);
        }
    }
    return result.size() <= max_nearby_peers ? result
                                             : std::vector<socket_address>();
}

std::vector<socket_address>
peer_directory::relay_addresses(std::uint64_t key) const
{
    struct relay final
    {
        const peer* process = nullptr;
        std::uint64_t rank = 0;
        std::size_t zone_size = 0;
    };
    absl::flat_hash_map<std::string_view, relay> relays;
    for (const auto& [name, entry] : peers_)
    {
        if (place_.to(entry.info.zone) != distance::other_region)
        {
            continue;
        }
        relay& chosen = relays[entry.info.zone];
        ++chosen.zone_size;
        const auto rank = stable_hash(name, key);
        if (!entry.suspected && !entry.info.stopping &&
            (chosen.process == nullptr || rank > chosen.rank))
        {
            chosen.process = &entry.info;
            chosen.rank = rank;
        }
    }
    std::vector<socket_address> result;
    for (const auto& [zone, relay] : relays)
    {
        // The relay tells the others of its zone.
        if (relay.process != nullptr && relay.zone_size <= max_nearby_peers + 1)
        {
            result.push_back(relay.process->address);
        }
    }
    return result;
}

bool peer_directory::is_nearby(const socket_address& address) const
{
    return std::any_of(peers_.begin(), peers_.end(),
                       [&](const auto& each)
                       {
                           const peer& info = each.second.info;
                           return info.address == address &&
                                  place_.to(info.zone) !=
                                      distance::other_region;
                       });
}

void peer_directory::suspect(const std::string& name)
{
    const auto found = peers_.find(name);
    if (found != peers_.end())
    {
        found->second.suspected = true;
    }
}

const peer* peer_directory::owner_of(std::string_view group,
                                     std::string_view zone) const
{
    const peer* best = nullptr;
    int best_preference = 0;
    double best_rank = 0;
    const auto consider = [&](const peer& process, bool suspected)
    {
        const int preference = zone_preference(process, suspected, zone);
        if (best != nullptr && preference < best_preference)
        {
            return;
        }
        const double rank = weighted_rank(
            stable_hash(group, stable_hash(process.name)), process.weight);
        if (best == nullptr || preference > best_preference || rank > best_rank)
        {
            best = &process;
            best_preference = preference;
            best_rank = rank;
        }
    };
    consider(settings_.self, false);
    for (const auto& [name, entry] : peers_)
    {
        consider(entry.info, entry.suspected);
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
    for (const auto& [name, entry] : peers_)
    {
        if (entry.info.zone == settings_.self.zone && !entry.info.stopping)
        {
            all.push_back(&entry.info);
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
    return found == peers_.end() ? nullptr : &found->second.info;
}

std::size_t peer_directory::max_recent_processes(boot_clock::time_point now)
{
    while (!counts_.empty() &&
           now - counts_.front().at > settings_.process_count_window)
    {
        counts_.pop_front();
    }
    counts_.push_back({now, peers_.size() + 1});
    std::size_t max_count = 1;
    for (const auto& sample : counts_)
    {
        max_count = std::max(max_count, sample.count);
    }
    return max_count;
}

} // namespace mangolink
