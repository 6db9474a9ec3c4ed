#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// Backend server with its agent.
struct server_plan final
{
    std::string name;
    std::string pool;
    std::string kind = "pool"; ///< or "engine"
    int service_us = 2000;
    std::string zone = "zone-a";
    std::string region = "vestland";
    nlohmann::json model = nlohmann::json::object(); ///< of an engine
    std::uint32_t limit = 32; ///< concurrent calls to the backend server
};

/// Entry instance.
struct entry_plan final
{
    std::string name;
    std::string zone = "zone-a";
    std::string region = "vestland";
};

/// Servers, entries and configuration of a deployment.
struct deployment_plan final
{
    std::vector<server_plan> servers;
    std::vector<entry_plan> entries{{"entry-1"}};
    nlohmann::json pipelines;
    nlohmann::json customers;
    nlohmann::json models = nlohmann::json::object();
    std::uint16_t first_port = 0; ///< 0: any free ports
    bool proxied = false;         ///< route connections through the fault proxy
    std::string log_folder{};     ///< empty: a temporary folder

    /// Expands an example, which lists zones by region, servers per pool and
    /// entries per zone. Servers are distributed round-robin over the zones. A
    /// non-empty `region` restricts the plan to that region. Throws
    /// std::exception if the example is invalid.
    static deployment_plan expand(const nlohmann::json& example,
                                  const std::string& region);
};

} // namespace mangolink::bench
