#include "request/stage_router.hpp"

#include "request/transfer_cost.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// What is told of a server is forgotten after this time.
constexpr milliseconds load_report_lifetime{2000};

/// Price of work in another zone or region, as the time that a caller would
/// wait instead.
constexpr milliseconds zone_cost{10};
constexpr milliseconds region_cost{45};

/// Wait for room that a result which does not fit is expected to need.
constexpr milliseconds memory_wait{300};

} // namespace

stage_router::stage_router(placement place) : place_(std::move(place))
{
}

void stage_router::update_load_report(const std::string& server,
                                      const server_load_report& load_report,
                                      boot_clock::time_point now)
{
    records_[server] = {load_report, now, 0};
}

void stage_router::count_sent_items(const std::string& server,
                                    std::size_t pieces)
{
    records_[server].sent_items += pieces;
}

stage_router::server_pointer
stage_router::choose(const std::vector<server_pointer>& servers,
                     const stage_pool_parameters& parameters,
                     const stage_demand& demand,
                     boot_clock::time_point now) const
{
    server_pointer best;
    milliseconds least{0};
    for (const auto& server : servers)
    {
        auto price = expected_time(*server, parameters, demand, now);
        const auto distance_to = place_.to(server->zone);
        price += distance_to == distance::same_zone     ? milliseconds(0)
                 : distance_to == distance::same_region ? zone_cost
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

bool stage_router::is_ejected(const std::string& server,
                              boot_clock::time_point now) const
{
    const auto found = records_.find(server);
    return found != records_.end() &&
           found->second.reported_at + found->second.load_report.ejected_for >
               now;
}

milliseconds stage_router::expected_time(
    const backend_server& server, const stage_pool_parameters& parameters,
    const stage_demand& demand, boot_clock::time_point now) const
{
    using std::chrono::duration_cast;
    const auto batch = std::max<std::size_t>(1, parameters.batch_size);
    const auto call = [&parameters](std::size_t held)
    {
        return parameters.call_time +
               parameters.item_time * static_cast<std::int64_t>(held);
    };
    server_load_report known;
    std::size_t ahead = 0;
    milliseconds age{0};
    const auto found = records_.find(server.id);
    if (found != records_.end())
    {
        age = duration_cast<milliseconds>(now - found->second.reported_at);
        ahead = found->second.sent_items;
        if (age < load_report_lifetime)
        {
            known = found->second.load_report;
            ahead += known.pieces;
        }
    }
    auto wait = std::max(known.busy - age, milliseconds(0)) +
                std::max(known.ejected_for - age, milliseconds(0));
    const bool reported = found != records_.end() && age < load_report_lifetime;
    if (reported &&
        known.free_bytes < demand.result_bytes * (demand.pieces + ahead))
    {
        wait += memory_wait;
    }
    const std::size_t total = ahead + demand.pieces;
    const std::size_t full_calls = (total - 1) / batch;
    const std::size_t rest = total - full_calls * batch;
    const auto work =
        call(batch) * static_cast<std::int64_t>(full_calls) + call(rest);
    return wait + duration_cast<milliseconds>(work * known.slowdown);
}

} // namespace mangolink
