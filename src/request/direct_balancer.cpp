#include "request/direct_balancer.hpp"

#include "base/hash.hpp"
#include "request/transfer_cost.hpp"

#include <algorithm>
#include <iterator>

namespace mangolink
{
namespace
{

/// Failures in a row after which a server is set aside.
constexpr std::uint32_t failure_limit = 3;
constexpr milliseconds aside_least{1000};
constexpr milliseconds aside_most{8000};

/// Weight of the newest answer in a server's time to the first byte.
constexpr double time_weight = 0.2;

/// Prices are in the time that a caller would wait instead: half a second of
/// waiting loses about as much as a unit of the users' prices.

/// Price of work outside the zone or region: round trips.
constexpr double zone_cost_ms = 8;
constexpr double region_cost_ms = 24;

/// Price of a byte that is sent to another region (12,000 units a GB).
constexpr double region_byte_cost_ms = 0.0065;

/// Gain of a server that has the request's prompt prefix cached, a token:
/// reading it again costs 0.24 units a thousand tokens, and 0.01 ms for the
/// request and each one that waits behind it.
constexpr double token_gain_ms = 0.1;

/// Part of the gain at the server that a zone's requests share, which has the
/// prefix cached only if it was last asked for in the same zone.
constexpr double zone_affinity = 0.35;

/// Extra cost of one request in flight at the same server.
constexpr double in_flight_cost_ms = 4;

/// Servers whose costs differ by less are equally good.
constexpr double equal_ms = 3;

/// Share of work over the mean at which affinity no longer counts.
constexpr double affinity_load_factor = 2;
constexpr double affinity_load_reserve = 4;

} // namespace

direct_balancer::direct_balancer(placement place) : place_(std::move(place))
{
}

direct_balancer::server_pointer
direct_balancer::choose(const std::vector<server_pointer>& servers,
                        const server_wish& wish, boot_clock::time_point now)
{
    const auto candidates = candidates_of(servers, wish, now);
    if (candidates.empty())
    {
        return nullptr;
    }
    const pool_view pool = view_of(candidates, wish);
    std::vector<double> prices;
    prices.reserve(candidates.size());
    for (const auto& server : candidates)
    {
        prices.push_back(cost(*server, wish, pool));
    }
    const double least = *std::min_element(prices.begin(), prices.end());
    server_pointer chosen;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        if (prices[i] <= least + equal_ms &&
            (!chosen ||
             rows_[candidates[i]->id].last_turn < rows_[chosen->id].last_turn))
        {
            chosen = candidates[i];
        }
    }
    server_row& row = rows_[chosen->id];
    row.last_turn = ++turns_;
    if (row.failures >= failure_limit)
    {
        // One request tries the server; others wait for how it ends.
        row.aside_until = now + aside_least;
    }
    return chosen;
}

std::vector<direct_balancer::server_pointer>
direct_balancer::candidates_of(const std::vector<server_pointer>& servers,
                               const server_wish& wish,
                               boot_clock::time_point now) const
{
    const auto excluded = [&wish](const server_pointer& server)
    {
        const auto& ids = wish.excluded;
        return std::find(ids.begin(), ids.end(), server->id) != ids.end();
    };
    std::vector<server_pointer> candidates;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(candidates),
                 [&](const server_pointer& server)
                 { return !excluded(server) && !set_aside(server->id, now); });
    if (candidates.empty())
    {
        // A pool whose servers are all set aside is used as if none were.
        std::copy_if(
            servers.begin(), servers.end(), std::back_inserter(candidates),
            [&](const server_pointer& server) { return !excluded(server); });
    }
    return candidates;
}

direct_balancer::pool_view
direct_balancer::view_of(const std::vector<server_pointer>& candidates,
                         const server_wish& wish) const
{
    pool_view view;
    double times = 0;
    double timed = 0;
    const auto rank = [&wish](const backend_server& server)
    { return stable_hash(server.id, wish.affinity); };
    for (const auto& server : candidates)
    {
        const auto* row = row_of(server->id);
        view.mean_in_flight += row == nullptr ? 0 : row->in_flight;
        if (row != nullptr && row->first_byte_ms > 0)
        {
            times += row->first_byte_ms;
            timed += 1;
        }
        for (auto* best : {&view.shared_in_zone[server->zone], &view.shared})
        {
            if (*best == nullptr || rank(*server) > rank(**best))
            {
                *best = server.get();
            }
        }
    }
    view.mean_in_flight /= static_cast<double>(candidates.size());
    view.typical_ms = timed > 0 ? times / timed : 0;
    return view;
}

milliseconds direct_balancer::affinity_gain(const server_wish& wish)
{
    return milliseconds(
        static_cast<std::int64_t>(token_gain_ms * wish.shared_tokens));
}

void direct_balancer::began(const std::string& server)
{
    ++rows_[server].in_flight;
}

void direct_balancer::ended(const std::string& server, send_outcome outcome,
                            milliseconds first_byte, boot_clock::time_point now)
{
    const auto found = rows_.find(server);
    if (found == rows_.end())
    {
        return;
    }
    server_row& row = found->second;
    row.in_flight -= row.in_flight > 0 ? 1 : 0;
    if (outcome == send_outcome::served)
    {
        row.failures = 0;
        const auto value = static_cast<double>(first_byte.count());
        row.first_byte_ms += row.first_byte_ms == 0
                                 ? value
                                 : time_weight * (value - row.first_byte_ms);
        return;
    }
    if (outcome == send_outcome::shed || outcome == send_outcome::withdrawn)
    {
        return;
    }
    ++row.failures;
    if (row.failures >= failure_limit)
    {
        const auto doublings =
            std::min<std::uint32_t>(row.failures - failure_limit, 3);
        row.aside_until =
            now + std::min(aside_most, aside_least * (1U << doublings));
    }
}

std::uint32_t direct_balancer::in_flight(const std::string& server) const
{
    const auto* row = row_of(server);
    return row == nullptr ? 0 : row->in_flight;
}

bool direct_balancer::set_aside(const std::string& server,
                                boot_clock::time_point now) const
{
    const auto* row = row_of(server);
    return row != nullptr && row->failures >= failure_limit &&
           row->aside_until > now;
}

void direct_balancer::forget(const std::string& server)
{
    rows_.erase(server);
}

const direct_balancer::server_row*
direct_balancer::row_of(const std::string& server) const
{
    const auto found = rows_.find(server);
    return found == rows_.end() ? nullptr : &found->second;
}

double direct_balancer::cost(const backend_server& server,
                             const server_wish& wish,
                             const pool_view& pool) const
{
    const auto* row = row_of(server.id);
    const double in_flight = row == nullptr ? 0 : row->in_flight;
    const double known = row == nullptr || row->first_byte_ms == 0
                             ? pool.typical_ms
                             : row->first_byte_ms;
    double result = known * (1 + in_flight / std::max(1U, server.slots)) +
                    in_flight * in_flight_cost_ms +
                    distance_ms(server.zone, wish.bytes);
    if (in_flight <=
        pool.mean_in_flight * affinity_load_factor + affinity_load_reserve)
    {
        result -=
            affinity(server, wish, pool) * token_gain_ms * wish.shared_tokens;
    }
    for (const auto& [zone, bytes] : wish.bytes_in_zone)
    {
        result += zone == server.zone ? 0 : transfer_cost_ms(bytes);
    }
    return result;
}

double direct_balancer::affinity(const backend_server& server,
                                 const server_wish& wish, const pool_view& pool)
{
    if (wish.affinity == 0)
    {
        return 0;
    }
    if (pool.shared == &server)
    {
        return 1;
    }
    return pool.shared_in_zone.at(server.zone) == &server ? zone_affinity : 0;
}

double direct_balancer::distance_ms(const std::string& zone,
                                    std::size_t bytes) const
{
    const double costs[] = {0, zone_cost_ms,
                            region_cost_ms + region_byte_cost_ms *
                                                 static_cast<double>(bytes)};
    return costs[static_cast<std::size_t>(place_.to(zone))];
}

} // namespace mangolink
