#include "request/stage_router.hpp"

#include "request/transfer_cost.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Age after which a load report is ignored.
constexpr milliseconds load_report_lifetime{2000};

/// Cost of using a server in another zone or region, expressed as an equivalent
/// waiting time of the caller.
constexpr milliseconds zone_cost{10};
constexpr milliseconds region_cost{45};

/// Expected additional wait when the results do not fit in the free memory.
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

std::optional<server_load_report>
stage_router::load_report_of(const std::string& server,
                             boot_clock::time_point now) const
{
    const auto found = records_.find(server);
    return found != records_.end() &&
                   now - found->second.reported_at < load_report_lifetime
               ? std::optional(found->second.load_report)
               : std::nullopt;
}

void stage_router::count_sent_items(const std::string& server,
                                    std::size_t item_count)
{
    records_[server].sent_items += item_count;
}

stage_router::server_pointer
stage_router::choose(const std::vector<server_pointer>& servers,
                     const stage_pool_parameters& parameters,
                     const stage_demand& demand,
                     boot_clock::time_point now) const
{
    server_pointer best;
    milliseconds lowest_cost{0};
    for (const auto& server : servers)
    {
        auto total_cost = expected_time(*server, parameters, demand, now);
        const auto proximity = place_.to(server->zone);
        total_cost += proximity == distance::same_zone     ? milliseconds(0)
                      : proximity == distance::same_region ? zone_cost
                                                           : region_cost;
        const bool preferred = demand.preferred_zone.empty() ||
                               demand.preferred_zone == server->zone;
        total_cost += preferred ? milliseconds(0) : demand.preference;
        for (const auto& [zone, bytes] : demand.inputs_in_zone)
        {
            const double transfer_cost =
                zone == server->zone ? 0 : transfer_cost_ms(bytes);
            total_cost +=
                milliseconds(static_cast<std::int64_t>(transfer_cost));
        }
        if (!best || total_cost < lowest_cost)
        {
            best = server;
            lowest_cost = total_cost;
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
    const auto items_per_call = std::max<std::size_t>(1, parameters.batch_size);
    const auto call_duration = [&parameters](std::size_t call_items)
    {
        return parameters.call_time +
               parameters.item_time * static_cast<std::int64_t>(call_items);
    };
    server_load_report report;
    std::size_t queued_items = 0;
    milliseconds age{0};
    const auto found = records_.find(server.id);
    if (found != records_.end())
    {
        age = duration_cast<milliseconds>(now - found->second.reported_at);
        queued_items = found->second.sent_items;
        if (age < load_report_lifetime)
        {
            report = found->second.load_report;
            queued_items += report.item_count;
        }
    }
    auto wait = std::max(report.busy - age, milliseconds(0)) +
                std::max(report.ejected_for - age, milliseconds(0));
    const bool has_report =
        found != records_.end() && age < load_report_lifetime;
    if (has_report &&
        report.free_bytes <
            demand.result_bytes * (demand.item_count + queued_items))
    {
        wait += memory_wait;
    }
    const std::size_t total = queued_items + demand.item_count;
    const std::size_t full_calls = (total - 1) / items_per_call;
    const std::size_t last_call_items = total - full_calls * items_per_call;
    const auto work =
        call_duration(items_per_call) * static_cast<std::int64_t>(full_calls) +
        call_duration(last_call_items);
    return wait + duration_cast<milliseconds>(work * report.slowdown);
}

} // namespace mangolink
