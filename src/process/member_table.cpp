#include "process/member_table.hpp"

#include "base/hash.hpp"
#include "version/configuration.hpp"
#include "wire/mangolink.pb.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace mangolink
{

member_table::member_table(member_table_settings settings)
    : settings_(std::move(settings))
{
}

membership_change member_table::apply(const configuration& next)
{
    membership_change change;
    absl::flat_hash_set<member_id> kept;
    pools_.assign(next.pools().size(), {});
    for (std::uint32_t pool = 0; pool < pools_.size(); ++pool)
    {
        for (const std::uint32_t index : choose_subset(next, pool))
        {
            const member_id id = keep_or_add(next.servers()[index], change);
            pools_[pool].push_back(id);
            kept.insert(id);
        }
    }
    for (auto it = members_.begin(); it != members_.end();)
    {
        const auto current = it++;
        if (kept.contains(current->first))
        {
            continue;
        }
        const auto name = names_.find(current->second.name);
        if (name != names_.end() && name->second == current->first)
        {
            names_.erase(name);
        }
        change.removed.push_back(std::move(current->second));
        members_.erase(current);
    }
    return change;
}

member* member_table::find(member_id id)
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

const member* member_table::find(member_id id) const
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

member* member_table::find_by_name(std::string_view name)
{
    const auto found = names_.find(std::string(name));
    return found == names_.end() ? nullptr : find(found->second);
}

std::span<const member_id> member_table::pool(std::uint32_t index) const
{
    if (index >= pools_.size())
    {
        return {};
    }
    return pools_[index];
}

std::vector<member_id> member_table::all() const
{
    std::vector<member_id> result;
    result.reserve(members_.size());
    for (const auto& [id, entry] : members_)
    {
        result.push_back(id);
    }
    return result;
}

bool member_table::usable(const member& candidate,
                          boot_clock::time_point now) const
{
    return candidate.known_incarnation.known() &&
           candidate.state == agent_state::ready &&
           now - candidate.last_heard <= settings_.heartbeat_timeout &&
           now >= candidate.ejected_until;
}

bool member_table::record_message(member_id id, incarnation sender,
                                  boot_clock::time_point now)
{
    member* entry = find(id);
    if (entry == nullptr)
    {
        return false;
    }
    entry->last_heard = now;
    if (entry->known_incarnation == sender)
    {
        return false;
    }
    const bool replaced = entry->known_incarnation.known();
    entry->known_incarnation = sender;
    entry->state = agent_state::starting;
    entry->load = {};
    entry->unreported_work = {};
    entry->unreported = 0;
    entry->failures_in_row = 0;
    entry->ejected_until = {};
    return replaced;
}

void member_table::update_load(member_id id, const wire::load_report& load,
                               boot_clock::time_point now)
{
    member* entry = find(id);
    if (entry == nullptr)
    {
        return;
    }
    entry->load.running = load.running();
    entry->load.queued = load.queued();
    entry->load.limit = std::max(load.limit(), 1U);
    entry->load.queued_work = from_wire(load.queued_work_us());
    entry->load.service_time = from_wire(load.service_time_us());
    entry->load.first_byte = from_wire(load.first_byte_us());
    entry->load.slowdown =
        load.slowdown_permille() > 0 ? load.slowdown_permille() / 1000.0 : 1;
    entry->load_time = now;
    entry->unreported_work = {};
    entry->unreported = 0;
    if (entry->state != agent_state::leaving)
    {
        entry->state = agent_state_from_wire(load.state());
    }
}

void member_table::mark_leaving(std::string_view name)
{
    if (member* entry = find_by_name(name))
    {
        entry->state = agent_state::leaving;
    }
}

void member_table::sent(member_id id, microseconds expected_work)
{
    if (member* entry = find(id))
    {
        ++entry->outstanding;
        ++entry->unreported;
        entry->unreported_work += expected_work;
    }
}

void member_table::ended(member_id id)
{
    member* entry = find(id);
    if (entry != nullptr && entry->outstanding > 0)
    {
        --entry->outstanding;
    }
}

void member_table::succeeded(member_id id)
{
    if (member* entry = find(id))
    {
        entry->failures_in_row = 0;
    }
}

void member_table::failed(member_id id, boot_clock::time_point now)
{
    member* entry = find(id);
    if (entry == nullptr)
    {
        return;
    }
    ++entry->failures_in_row;
    if (entry->failures_in_row >= settings_.ejection_failures &&
        may_eject(id, now))
    {
        entry->ejected_until = now + settings_.ejection_time;
        entry->failures_in_row = 0;
    }
}

std::vector<std::uint32_t>
member_table::choose_subset(const configuration& next, std::uint32_t pool) const
{
    struct ranked final
    {
        bool remote;
        std::uint64_t score;
        std::uint32_t index;
    };
    std::vector<ranked> near;
    std::vector<ranked> far;
    const std::uint64_t seed = stable_hash(settings_.instance);
    for (const std::uint32_t index : next.pools()[pool].servers)
    {
        const configured_server& server = next.servers()[index];
        const bool remote = server.region != settings_.region;
        (remote ? far : near)
            .push_back({remote, stable_hash(server.name, seed), index});
    }
    const auto by_score = [](const ranked& a, const ranked& b)
    { return a.score > b.score; };
    std::sort(near.begin(), near.end(), by_score);
    std::sort(far.begin(), far.end(), by_score);

    // A quarter of the subset is in other regions, so that requests can be
    // served when the own region fails.
    const std::size_t size = settings_.subset_size;
    const std::size_t far_floor = std::min(far.size(), size / 4);
    const std::size_t near_count = std::min(near.size(), size - far_floor);
    const std::size_t far_count = std::min(far.size(), size - near_count);
    std::vector<std::uint32_t> chosen;
    for (std::size_t i = 0; i < near_count; ++i)
    {
        chosen.push_back(near[i].index);
    }
    for (std::size_t i = 0; i < far_count; ++i)
    {
        chosen.push_back(far[i].index);
    }
    return chosen;
}

distance member_table::distance_to(const configured_server& server) const
{
    if (server.region != settings_.region)
    {
        return distance::other_region;
    }
    return server.zone == settings_.zone ? distance::same_zone
                                         : distance::same_region;
}

member_id member_table::keep_or_add(const configured_server& server,
                                    membership_change& change)
{
    const auto found = names_.find(server.name);
    if (found != names_.end() &&
        members_[found->second].address == server.agent_address)
    {
        return found->second;
    }
    member entry;
    entry.id = static_cast<member_id>(next_id_++);
    entry.name = server.name;
    entry.address = server.agent_address;
    entry.zone = server.zone;
    entry.region = server.region;
    entry.where = distance_to(server);
    names_[server.name] = entry.id;
    change.added.push_back(entry.id);
    return members_.emplace(entry.id, std::move(entry)).first->first;
}

bool member_table::may_eject(member_id id, boot_clock::time_point now) const
{
    for (const auto& pool : pools_)
    {
        if (std::find(pool.begin(), pool.end(), id) == pool.end())
        {
            continue;
        }
        const auto ejected = std::count_if(
            pool.begin(), pool.end(),
            [&](member_id other) { return find(other)->ejected_until > now; });
        const double limit =
            settings_.max_ejected_fraction * static_cast<double>(pool.size());
        if (static_cast<double>(ejected + 1) > limit)
        {
            return false;
        }
    }
    return true;
}

} // namespace mangolink
