#include "request/direct_balancer.hpp"

#include "base/hash.hpp"
#include "request/transfer_cost.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace mangolink
{
namespace
{

/// Consecutive failures after which a server is ejected.
constexpr std::uint32_t ejection_failures = 3;
constexpr milliseconds min_ejection_time{1000};
constexpr milliseconds max_ejection_time{8000};

/// Weight of the newest answer in the moving average of the time to the first
/// byte.
constexpr double time_weight = 0.2;

/// Costs are expressed as an equivalent waiting time of the caller: half a
/// second of waiting costs about as much as one unit of the users' prices.

/// Cost of using a server outside the zone or region, due to round trips.
constexpr double zone_cost_ms = 8;
constexpr double region_cost_ms = 24;

/// Cost of a byte sent to another region (12,000 units per GB).
constexpr double region_byte_cost_ms = 0.0065;

/// Benefit per token of a server that has the prompt prefix of the request
/// cached. Reading the prefix again costs 0.24 units per thousand tokens, plus
/// 0.01 ms per token for the request and for each one queued behind it.
constexpr double token_gain_ms = 0.1;

/// Fraction of that benefit at the preferred server of a zone, which has the
/// prefix cached only if the prefix was last requested in the same zone.
constexpr double zone_affinity = 0.35;

/// Additional cost per request in flight at the same server.
constexpr double in_flight_cost_ms = 4;

/// Benefit of a server with a rate limit, whose permits would be lost.
constexpr double limited_gain_ms = 20;

/// Additional time at a cold server, as a multiple of the expected one. Work
/// that can wait warms it; other work uses it only if all else is overloaded.
constexpr double cold_time_factor = 0.5;
constexpr double cold_time_factor_urgent = 3;

/// Servers whose costs differ by at most this much are considered equal.
constexpr double equal_ms = 3;

/// Affinity is ignored for a server with more requests in flight than the mean
/// multiplied by the factor, plus the reserve.
constexpr double affinity_load_factor = 2;
constexpr double affinity_load_reserve = 4;

/// Cost of reading a token of a cached prefix again, without its time.
constexpr double reread_token_cost_ms = 0.09;

/// Probability that the prefix is cached at the server that is next in line
/// after the preferred one, which takes the prompts that it has no time for.
constexpr double second_affinity = 0.3;

/// A server that reads prompts without a break for the accepted pause delays
/// all its streams. Prompts avoid a server from this fraction on, since the
/// newest sends of other processes are not known.
constexpr double pause_fraction = 0.5;
constexpr double pause_cost_factor = 2;

/// Round trips, for the expected time to the first event.
constexpr precise_milliseconds round_trips[] = {
    precise_milliseconds(1), precise_milliseconds(2), precise_milliseconds(25)};

constexpr double no_cost = std::numeric_limits<double>::infinity();

} // namespace

direct_balancer::direct_balancer(placement place)
    : place_(std::move(place)), tie_seed_(stable_hash(place_.instance))
{
}

direct_balancer::server_pointer
direct_balancer::choose(const std::vector<server_pointer>& servers,
                        const server_preferences& preferences,
                        boot_clock::time_point now)
{
    if (preferences.weighs_prompts)
    {
        return choose_by_prompts(servers, preferences, now);
    }
    const auto candidates = candidates_of(servers, preferences, now);
    if (candidates.empty())
    {
        return nullptr;
    }
    const pool_view pool = make_pool_view(candidates, preferences);
    std::vector<double> candidate_costs;
    candidate_costs.reserve(candidates.size());
    for (const auto& server : candidates)
    {
        candidate_costs.push_back(cost(*server, preferences, pool));
    }
    const double lowest_cost =
        *std::min_element(candidate_costs.begin(), candidate_costs.end());
    server_pointer chosen;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (candidate_costs[i] <= lowest_cost + equal_ms &&
            (!chosen || records_[candidates[i]->id].last_choice <
                            records_[chosen->id].last_choice))
        {
            chosen = candidates[i];
        }
    }
    mark_chosen(*chosen, now);
    return chosen;
}

void direct_balancer::mark_chosen(const backend_server& server,
                                  boot_clock::time_point now)
{
    server_record& record = records_[server.id];
    record.last_choice = ++choices_;
    if (record.failures >= ejection_failures)
    {
        // This request probes the server; the others avoid it meanwhile.
        record.ejected_until = now + min_ejection_time;
    }
}

direct_balancer::server_pointer
direct_balancer::choose_by_prompts(const std::vector<server_pointer>& servers,
                                   const server_preferences& preferences,
                                   boot_clock::time_point now)
{
    const absl::flat_hash_set<absl::string_view> excluded_ids(
        preferences.excluded.begin(), preferences.excluded.end());
    const absl::flat_hash_set<absl::string_view> limited_ids(
        preferences.limited.begin(), preferences.limited.end());
    const absl::flat_hash_set<absl::string_view> cold_ids(
        preferences.cold.begin(), preferences.cold.end());
    // Ignores ejections when all servers are ejected.
    for (const bool respects_ejections : {true, false})
    {
        costs_.assign(servers.size(), no_cost);
        bool any = false;
        for (std::size_t i = 0; i < servers.size(); ++i)
        {
            const auto& id = servers[i]->id;
            const bool excluded =
                !excluded_ids.empty() && excluded_ids.contains(id);
            if (!excluded && !(respects_ejections && is_ejected(id, now)))
            {
                costs_[i] = 0;
                any = true;
            }
        }
        if (!any)
        {
            continue;
        }
        const auto prefix = find_prefix_servers(servers, preferences);
        double lowest_cost = no_cost;
        for (std::size_t i = 0; i < servers.size(); ++i)
        {
            if (costs_[i] < no_cost)
            {
                const backend_server& server = *servers[i];
                costs_[i] =
                    prompt_cost_ms(server, preferences, prefix, now) -
                    (!limited_ids.empty() && limited_ids.contains(server.id)
                         ? limited_gain_ms
                         : 0);
                if (!cold_ids.empty() && cold_ids.contains(server.id))
                {
                    costs_[i] += cold_cost_ms(preferences);
                }
                lowest_cost = std::min(lowest_cost, costs_[i]);
            }
        }
        auto chosen = least_recent_of_lowest(servers, lowest_cost);
        mark_chosen(*chosen, now);
        const std::uint64_t start = chosen->start_hash();
        last_choice_ = {start, cached_fraction(*chosen, start, preferences,
                                               prefix, now) == 1};
        return chosen;
    }
    return nullptr;
}

direct_balancer::server_pointer direct_balancer::least_recent_of_lowest(
    const std::vector<server_pointer>& servers, double lowest_cost) const
{
    std::size_t best = servers.size();
    std::uint64_t best_choice = 0;
    std::uint64_t best_rank = 0;
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        if (costs_[i] > lowest_cost + equal_ms)
        {
            continue;
        }
        const auto* record = find_record(servers[i]->id);
        const auto choice = record == nullptr ? 0 : record->last_choice;
        // Processes that start at the same time must not begin with the same
        // server.
        const auto rank = stable_hash(servers[i]->id, tie_seed_);
        if (best == servers.size() || choice < best_choice ||
            (choice == best_choice && rank > best_rank))
        {
            best = i;
            best_choice = choice;
            best_rank = rank;
        }
    }
    return servers[best];
}

direct_balancer::prefix_servers direct_balancer::find_prefix_servers(
    const std::vector<server_pointer>& servers,
    const server_preferences& preferences) const
{
    prefix_servers result;
    if (preferences.affinity == 0)
    {
        return result;
    }
    std::uint64_t ranks[3] = {0, 0, 0};
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        if (costs_[i] == no_cost)
        {
            continue;
        }
        const auto& server = servers[i];
        const auto rank = stable_hash(server->id, preferences.affinity);
        if (result.first == nullptr || rank > ranks[0])
        {
            result.second = result.first;
            ranks[1] = ranks[0];
            result.first = server.get();
            ranks[0] = rank;
        }
        else if (result.second == nullptr || rank > ranks[1])
        {
            result.second = server.get();
            ranks[1] = rank;
        }
        if ((result.in_zone == nullptr || rank > ranks[2]) &&
            server->zone == place_.zone)
        {
            result.in_zone = server.get();
            ranks[2] = rank;
        }
    }
    return result;
}

double direct_balancer::cached_fraction(const backend_server& server,
                                        std::uint64_t start,
                                        const server_preferences& preferences,
                                        const prefix_servers& prefix,
                                        boot_clock::time_point now) const
{
    if (preferences.affinity == 0)
    {
        return 0;
    }
    const double assumed = &server == prefix.first     ? 1
                           : &server == prefix.in_zone ? zone_affinity
                           : &server == prefix.second  ? second_affinity
                                                       : 0;
    return assumed < 1 && prompts_.is_cached(start, preferences.affinity, now)
               ? 1
               : assumed;
}

double direct_balancer::prompt_cost_ms(const backend_server& server,
                                       const server_preferences& preferences,
                                       const prefix_servers& prefix,
                                       boot_clock::time_point now) const
{
    const std::uint64_t start = server.start_hash();
    const double uncached =
        preferences.shared_tokens *
        (1 - cached_fraction(server, start, preferences, prefix, now));
    const double busy_ms =
        (prompts_.wait(start, now) +
         prompts_.read_time(preferences.own_tokens + uncached))
            .count();
    const auto max_pause_ms =
        static_cast<double>(preferences.max_pause.count());
    double result = busy_ms + uncached * reread_token_cost_ms +
                    prompts_.running(start) * in_flight_cost_ms +
                    distance_cost_ms(server.zone, preferences.bytes);
    if (max_pause_ms > 0)
    {
        result += pause_cost_factor *
                  std::max(0.0, busy_ms - max_pause_ms * pause_fraction);
    }
    for (const auto& [zone, bytes] : preferences.bytes_in_zone)
    {
        result += zone == server.zone ? 0 : transfer_cost_ms(bytes);
    }
    return result;
}

double
direct_balancer::cold_cost_ms(const server_preferences& preferences) const
{
    const auto reading =
        prompts_.read_time(preferences.own_tokens + preferences.shared_tokens);
    return reading.count() *
           (preferences.can_wait ? cold_time_factor : cold_time_factor_urgent);
}

sent_prompt direct_balancer::prompt_sent(const backend_server& server,
                                         const server_preferences& preferences,
                                         boot_clock::time_point now)
{
    const std::uint64_t start = server.start_hash();
    const bool cached = start == last_choice_.start && last_choice_.cached;
    return prompts_.add(
        start,
        {preferences.affinity, preferences.shared_tokens,
         preferences.own_tokens},
        cached, round_trips[static_cast<std::size_t>(place_.to(server.zone))],
        now);
}

std::vector<direct_balancer::server_pointer>
direct_balancer::candidates_of(const std::vector<server_pointer>& servers,
                               const server_preferences& preferences,
                               boot_clock::time_point now) const
{
    const absl::flat_hash_set<absl::string_view> excluded_ids(
        preferences.excluded.begin(), preferences.excluded.end());
    const auto excluded = [&excluded_ids](const server_pointer& server)
    { return excluded_ids.contains(server->id); };
    std::vector<server_pointer> candidates;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(candidates),
                 [&](const server_pointer& server)
                 { return !excluded(server) && !is_ejected(server->id, now); });
    if (candidates.empty())
    {
        // Ignores ejections when all servers are ejected.
        std::copy_if(
            servers.begin(), servers.end(), std::back_inserter(candidates),
            [&](const server_pointer& server) { return !excluded(server); });
    }
    return candidates;
}

direct_balancer::pool_view
direct_balancer::make_pool_view(const std::vector<server_pointer>& candidates,
                                const server_preferences& preferences) const
{
    pool_view view;
    view.limited.insert(preferences.limited.begin(), preferences.limited.end());
    view.cold.insert(preferences.cold.begin(), preferences.cold.end());
    double total_ms = 0;
    double sample_count = 0;
    const auto rank = [&preferences](const backend_server& server)
    { return stable_hash(server.id, preferences.affinity); };
    for (const auto& server : candidates)
    {
        const auto* record = find_record(server->id);
        view.mean_in_flight += record == nullptr ? 0 : record->in_flight;
        if (record != nullptr && record->first_byte_ms > 0)
        {
            total_ms += record->first_byte_ms;
            sample_count += 1;
        }
        for (auto* best : {&view.affinity_server_in_zone[server->zone],
                           &view.affinity_server})
        {
            if (*best == nullptr || rank(*server) > rank(**best))
            {
                *best = server.get();
            }
        }
    }
    view.mean_in_flight /= static_cast<double>(candidates.size());
    view.typical_ms = sample_count > 0 ? total_ms / sample_count : 0;
    return view;
}

milliseconds
direct_balancer::affinity_gain(const server_preferences& preferences)
{
    return milliseconds(
        static_cast<std::int64_t>(token_gain_ms * preferences.shared_tokens));
}

void direct_balancer::send_started(const std::string& server)
{
    ++records_[server].in_flight;
}

void direct_balancer::send_ended(const std::string& server,
                                 send_outcome outcome, milliseconds first_byte,
                                 boot_clock::time_point now)
{
    const auto found = records_.find(server);
    if (found == records_.end())
    {
        return;
    }
    server_record& record = found->second;
    record.in_flight -= record.in_flight > 0 ? 1 : 0;
    if (outcome == send_outcome::served)
    {
        failing_.erase(server);
        record.failures = 0;
        const auto value = static_cast<double>(first_byte.count());
        record.first_byte_ms +=
            record.first_byte_ms == 0
                ? value
                : time_weight * (value - record.first_byte_ms);
        return;
    }
    if (outcome == send_outcome::shed || outcome == send_outcome::cancelled)
    {
        return;
    }
    if (record.failures >= ejection_failures &&
        now < record.last_failure + min_ejection_time)
    {
        return; // one fault fails all requests in flight
    }
    ++record.failures;
    record.last_failure = now;
    if (record.failures >= ejection_failures)
    {
        failing_.insert(server);
        const auto doublings =
            std::min<std::uint32_t>(record.failures - ejection_failures, 3);
        record.ejected_until =
            now +
            std::min(max_ejection_time, min_ejection_time * (1U << doublings));
    }
}

std::uint32_t direct_balancer::in_flight(const std::string& server) const
{
    const auto* record = find_record(server);
    return record == nullptr ? 0 : record->in_flight;
}

bool direct_balancer::is_ejected(const std::string& server,
                                 boot_clock::time_point now) const
{
    if (failing_.empty() || !failing_.contains(server))
    {
        return false;
    }
    const auto* record = find_record(server);
    return record != nullptr && record->ejected_until > now;
}

void direct_balancer::forget(const std::string& server)
{
    failing_.erase(server);
    records_.erase(server);
}

const direct_balancer::server_record*
direct_balancer::find_record(const std::string& server) const
{
    const auto found = records_.find(server);
    return found == records_.end() ? nullptr : &found->second;
}

double direct_balancer::cost(const backend_server& server,
                             const server_preferences& preferences,
                             const pool_view& pool) const
{
    const auto* record = find_record(server.id);
    const double in_flight = record == nullptr ? 0 : record->in_flight;
    const double expected_ms = record == nullptr || record->first_byte_ms == 0
                                   ? pool.typical_ms
                                   : record->first_byte_ms;
    double result = expected_ms * (1 + in_flight / std::max(1U, server.slots)) +
                    in_flight * in_flight_cost_ms +
                    distance_cost_ms(server.zone, preferences.bytes);
    if (in_flight <=
        pool.mean_in_flight * affinity_load_factor + affinity_load_reserve)
    {
        result -= affinity(server, preferences, pool) * token_gain_ms *
                  preferences.shared_tokens;
    }
    result -= pool.limited.contains(server.id) ? limited_gain_ms : 0;
    if (pool.cold.contains(server.id))
    {
        result +=
            expected_ms *
            (preferences.can_wait ? cold_time_factor : cold_time_factor_urgent);
    }
    for (const auto& [zone, bytes] : preferences.bytes_in_zone)
    {
        result += zone == server.zone ? 0 : transfer_cost_ms(bytes);
    }
    return result;
}

double direct_balancer::affinity(const backend_server& server,
                                 const server_preferences& preferences,
                                 const pool_view& pool)
{
    if (preferences.affinity == 0)
    {
        return 0;
    }
    if (pool.affinity_server == &server)
    {
        return 1;
    }
    return pool.affinity_server_in_zone.at(server.zone) == &server
               ? zone_affinity
               : 0;
}

double direct_balancer::distance_cost_ms(const std::string& zone,
                                         std::size_t bytes) const
{
    const double costs[] = {0, zone_cost_ms,
                            region_cost_ms + region_byte_cost_ms *
                                                 static_cast<double>(bytes)};
    return costs[static_cast<std::size_t>(place_.to(zone))];
}

} // namespace mangolink
