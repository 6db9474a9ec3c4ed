#include "request/stage_router.hpp"

#include "request/transfer_cost.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// What is told of a server is forgotten after this time.
constexpr milliseconds outlook_lifetime{2000};

/// Price of work in another zone or region, as the time that a caller would
/// wait instead.
constexpr milliseconds zone_cost{10};
constexpr milliseconds region_cost{45};

/// Wait for room that a result which does not fit is expected to need.
constexpr milliseconds room_wait{300};

} // namespace

stage_router::stage_router(placement place) : place_(std::move(place))
{
}

void stage_router::take_outlook(const std::string& server,
                                const server_outlook& outlook,
                                boot_clock::time_point now)
{
    rows_[server] = {outlook, now, 0};
}

void stage_router::count_sent(const std::string& server, std::size_t pieces)
{
    rows_[server].sent += pieces;
}

stage_router::server_pointer
stage_router::choose(const std::vector<server_pointer>& servers,
                     const stage_pool_parameters& figures,
                     const stage_demand& demand,
                     boot_clock::time_point now) const
{
    server_pointer best;
    milliseconds least{0};
    for (const auto& server : servers)
    {
        auto price = expected_time(*server, figures, demand, now);
        const auto away = place_.to(server->zone);
        price += away == distance::same_zone     ? milliseconds(0)
                 : away == distance::same_region ? zone_cost
                                                 : region_cost;
        const bool preferred = demand.preferred_zone.empty() ||
                               demand.preferred_zone == server->zone;
        price += preferred ? milliseconds(0) : demand.preference;
        for (const auto& [zone, bytes] : demand.inputs_in_zone)
        {
            const double cost =
                zone == server->zone ? 0 : transfer_cost_ms(bytes);
            price += milliseconds(static_cast<std::int64_t>(cost));
        }
        if (!best || price < least)
        {
            best = server;
            least = price;
        }
    }
    return best;
}

bool stage_router::avoided(const std::string& server,
                           boot_clock::time_point now) const
{
    const auto found = rows_.find(server);
    return found != rows_.end() &&
           found->second.at + found->second.outlook.avoid > now;
}

milliseconds stage_router::expected_time(const backend_server& server,
                                         const stage_pool_parameters& figures,
                                         const stage_demand& demand,
                                         boot_clock::time_point now) const
{
    using std::chrono::duration_cast;
    const auto batch = std::max<std::size_t>(1, figures.batch_size);
    const auto call = [&figures](std::size_t held)
    {
        return figures.call_time +
               figures.item_time * static_cast<std::int64_t>(held);
    };
    server_outlook known;
    std::size_t ahead = 0;
    milliseconds age{0};
    const auto found = rows_.find(server.id);
    if (found != rows_.end())
    {
        age = duration_cast<milliseconds>(now - found->second.at);
        ahead = found->second.sent;
        if (age < outlook_lifetime)
        {
            known = found->second.outlook;
            ahead += known.pieces;
        }
    }
    auto wait = std::max(known.busy - age, milliseconds(0)) +
                std::max(known.avoid - age, milliseconds(0));
    const bool told = found != rows_.end() && age < outlook_lifetime;
    if (told &&
        known.free_bytes < demand.result_bytes * (demand.pieces + ahead))
    {
        wait += room_wait;
    }
    const std::size_t total = ahead + demand.pieces;
    const std::size_t full_calls = (total - 1) / batch;
    const std::size_t rest = total - full_calls * batch;
    const auto work =
        call(batch) * static_cast<std::int64_t>(full_calls) + call(rest);
    return wait + duration_cast<milliseconds>(work * known.slowdown);
}

} // namespace mangolink
