#include "connection/placement_page.hpp"

#include "roles/gateway_state.hpp"

#include <nlohmann/json.hpp>

namespace mangolink
{
namespace
{

using nlohmann::json;

json evacuated_zones(const gateway_state& state, boot_clock::time_point now)
{
    auto result = json::array();
    for (const auto& [zone, evacuation] : state.evacuations().all())
    {
        const auto known_for = std::chrono::duration_cast<milliseconds>(
            now - evacuation.known_since);
        result.push_back({{"zone", zone},
                          {"revision", evacuation.revision},
                          {"known_ms", known_for.count()}});
    }
    return result;
}

json cold_servers(gateway_state& state, boot_clock::time_point now)
{
    auto result = json::array();
    for (const auto& server : state.directory().all())
    {
        if (!server->is_cold(now))
        {
            continue;
        }
        const bool limited = state.limits().is_cold_limited(*server, now);
        const auto remaining =
            std::chrono::duration_cast<milliseconds>(server->cold_until - now);
        result.push_back(
            {{"server", server->id},
             {"zone", server->zone},
             {"cold_ms", remaining.count()},
             {"own_per_second",
              limited ? json(state.limits()
                                 .share_of(*server, sender_role::chosen, now)
                                 .per_second)
                      : json("unlimited")}});
    }
    return result;
}

/// Adds the regions of a route or customer if it names any.
template <class Bound>
void add_regions(json& list, const char* kind, const Bound& bound)
{
    if (bound.allowed_regions)
    {
        list.push_back({{"kind", kind},
                        {"name", bound.name},
                        {"regions", *bound.allowed_regions}});
    }
}

json allowed_regions(const gateway_state& state)
{
    auto result = json::array();
    if (!state.configuration())
    {
        return result;
    }
    for (const auto& route : state.configuration()->routes())
    {
        add_regions(result, "route", route);
    }
    for (const auto& customer : state.configuration()->customers())
    {
        add_regions(result, "customer", customer);
    }
    return result;
}

} // namespace

std::string placement_page(gateway_state& state, boot_clock::time_point now)
{
    const json page{{"evacuated_zones", evacuated_zones(state, now)},
                    {"cold_servers", cold_servers(state, now)},
                    {"allowed_regions", allowed_regions(state)}};
    return page.dump(2) + "\n";
}

} // namespace mangolink
