#pragma once

#include "connection/http_client.hpp"
#include "support/child_process.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mangolink::test
{

/// One backend server of a test with its agent.
struct server_plan final
{
    std::string name;
    std::string pool;
    std::string kind = "pool"; ///< or "engine"
    int service_us = 2000;
    std::string zone = "zone-a";
    std::string region = "vestland";
};

/// Real processes on loopback: stand-ins, an agent for each backend server
/// and entries. All are ended with the object.
class deployment final
{
public:
    /// Starts the stand-ins; agents and entries follow one by one.
    deployment(std::vector<server_plan> servers, nlohmann::json pipelines,
               nlohmann::json customers);
    ~deployment();

    void start_agent(const std::string& server,
                     const std::vector<std::string>& overrides = {});
    void start_entry(const std::string& name,
                     const std::vector<std::string>& overrides = {});

    /// Starts every agent and one entry "entry-1", waits until it is ready.
    void start_all();

    /// Waits until the entry sees this many usable members.
    bool ready(const std::string& entry, std::size_t usable) const;

    child_process& process(const std::string& name);

    /// Calls an entry as the customer "caster" unless headers name another.
    http_result request(const std::string& entry, const std::string& pipeline,
                        const std::string& body,
                        std::vector<http_header> headers = {}) const;

    /// Calls the administration API of a process.
    http_result admin(const std::string& name, const std::string& method,
                      const std::string& path,
                      const std::string& body = {}) const;

    /// Calls a path of the stand-in of a backend server.
    http_result standin(const std::string& server, const std::string& path,
                        const std::string& body = {}) const;

    /// Calls a control path of the platform's stand-in.
    http_result platform(const std::string& path,
                         const std::string& body = {}) const;

    /// Returns what the backend servers executed.
    nlohmann::json executions() const;

    std::string caller_address(const std::string& entry) const;
    nlohmann::json first_value() const;

private:
    std::string settings_text(const std::string& name,
                              const server_plan* server) const;
    void start(const std::string& program, const std::string& name,
               const std::string& settings,
               const std::vector<std::string>& overrides);
    static std::uint16_t free_port();
    std::string address(const std::string& use) const;

    std::string folder_;
    std::vector<server_plan> servers_;
    nlohmann::json pipelines_;
    nlohmann::json customers_;
    mutable std::map<std::string, std::uint16_t> ports_;
    std::map<std::string, std::unique_ptr<child_process>> processes_;
};

} // namespace mangolink::test
