#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// One backend server with its agent.
struct server_plan final
{
    std::string name;
    std::string pool;
    std::string kind = "pool"; ///< or "engine"
    int service_us = 2000;
    std::string zone = "zone-a";
    std::string region = "vestland";
    nlohmann::json model = nlohmann::json::object(); ///< of an engine
    std::uint32_t limit = 32; ///< calls at the backend server
};

/// One entry instance.
struct entry_plan final
{
    std::string name;
    std::string zone = "zone-a";
    std::string region = "vestland";
};

/// Everything a deployment consists of.
struct deployment_plan final
{
    std::vector<server_plan> servers;
    std::vector<entry_plan> entries{{"entry-1"}};
    nlohmann::json pipelines;
    nlohmann::json customers;
    nlohmann::json models = nlohmann::json::object();
    std::uint16_t first_port = 0; ///< 0: any free ports
    bool proxied = false;         ///< every link goes through the fault proxy
    std::string log_folder{};     ///< empty: a temporary folder

    /// Expands an example: zones by region, pools with their number of
    /// servers spread over the zones, entries per zone. Only the servers of
    /// one region when `region` is not empty. Throws std::exception.
    static deployment_plan expand(const nlohmann::json& example,
                                  const std::string& region);
};

} // namespace mangolink::bench
