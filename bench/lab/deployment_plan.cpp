#include "lab/deployment_plan.hpp"

namespace mangolink::bench
{
namespace
{

using nlohmann::json;

struct zone_info final
{
    std::string name;
    std::string region;
};

std::vector<zone_info> zones_of(const json& example)
{
    std::vector<zone_info> zones;
    for (const auto& region : example.at("regions").items())
    {
        for (const auto& zone : region.value())
        {
            zones.push_back({zone.get<std::string>(), region.key()});
        }
    }
    return zones;
}

server_plan make_server(const std::string& pool, const json& definition,
                        const zone_info& zone, std::size_t index)
{
    server_plan server;
    server.name = pool + "-" + std::to_string(index + 1);
    server.pool = pool;
    server.kind = definition.value("kind", "pool");
    server.service_us = definition.value("service_us", 2000);
    server.limit = definition.value("limit", 32U);
    server.model = definition.value("model", json::object());
    server.zone = zone.name;
    server.region = zone.region;
    return server;
}

} // namespace

deployment_plan deployment_plan::expand(const json& example,
                                        const std::string& region)
{
    deployment_plan plan;
    plan.entries.clear();
    plan.pipelines = example.at("pipelines");
    plan.customers = example.at("customers");
    plan.models = example.value("models", json::object());
    const auto zones = zones_of(example);
    const auto wanted = [&](const zone_info& zone)
    { return region.empty() || zone.region == region; };
    for (const auto& pool : example.at("pools").items())
    {
        const auto count = pool.value().at("servers").get<std::size_t>();
        for (std::size_t i = 0; i < count; ++i)
        {
            const zone_info& zone = zones[i % zones.size()];
            if (wanted(zone))
            {
                plan.servers.push_back(
                    make_server(pool.key(), pool.value(), zone, i));
            }
        }
    }
    const auto per_zone = example.value("entries_per_zone", 1);
    for (const auto& zone : zones)
    {
        for (int i = 0; wanted(zone) && i < per_zone; ++i)
        {
            plan.entries.push_back(
                {"entry-" + zone.name + "-" + std::to_string(i + 1), zone.name,
                 zone.region});
        }
    }
    return plan;
}

} // namespace mangolink::bench
