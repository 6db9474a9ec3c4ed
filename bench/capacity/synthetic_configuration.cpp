#include "capacity/synthetic_configuration.hpp"

#include <string>

namespace mangolink::bench
{
namespace
{

using nlohmann::json;

constexpr std::size_t zones = 5;

void add_servers(json& value, const std::string& pool, std::size_t count)
{
    value["pools"][pool] = json::object();
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::size_t zone = i % zones;
        value["backend_servers"][pool + "-" + std::to_string(i)] = {
            {"pool", pool},
            {"zone", "zone-" + std::to_string(zone)},
            {"region", zone < 3 ? "region-0" : "region-1"},
            {"agent", "127.0." + std::to_string(i / 250) + "." +
                          std::to_string(i % 250 + 1) + ":7000"}};
    }
}

json stage(const std::string& kind, const std::string& pool)
{
    return {{"name", kind}, {"kind", kind}, {"pool", pool}};
}

} // namespace

json synthetic_configuration(const synthetic_size& size)
{
    json value{{"pools", json::object()},
               {"backend_servers", json::object()},
               {"customers", json::object()},
               {"pipelines", json::object()}};
    for (std::size_t i = 0; i < size.models; ++i)
    {
        add_servers(value, "engines-" + std::to_string(i),
                    size.engines / size.models);
    }
    for (const std::string pool : {"encoders", "retrievers", "rerankers"})
    {
        add_servers(value, pool, size.engines / 6);
    }
    for (std::size_t i = 0; i < size.customers; ++i)
    {
        value["customers"]["customer-" + std::to_string(i)] = {
            {"share", i % 8 + 1}, {"requests_per_second", 50}, {"burst", 100}};
    }
    for (std::size_t i = 0; i < size.pipelines; ++i)
    {
        value["pipelines"]["pipeline-" + std::to_string(i)] = {
            {"stages",
             {stage("encode", "encoders"), stage("retrieve", "retrievers"),
              stage("rerank", "rerankers"),
              stage("generate",
                    "engines-" + std::to_string(i % size.models))}}};
    }
    return value;
}

} // namespace mangolink::bench
