#pragma once

#include "connection/http_client.hpp"
#include "lab/child_process.hpp"
#include "lab/deployment_plan.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// Exit code and output of a program.
struct command_result final
{
    int exit_code = 0;
    std::string output;
};

/// Deployment of real processes on loopback: stand-ins, an agent per backend
/// server, and entries. The destructor kills all of them.
class deployment final
{
public:
    /// Starts only the stand-ins and, if the plan says so, the fault proxy.
    explicit deployment(deployment_plan plan);
    deployment(std::vector<server_plan> servers, nlohmann::json pipelines,
               nlohmann::json customers);
    ~deployment();

    void start_agent(const std::string& server,
                     const std::vector<std::string>& overrides = {});
    void start_entry(const std::string& name,
                     const std::vector<std::string>& overrides = {});

    /// Starts all agents and entries and waits until each entry has all members
    /// usable. The overrides, "key=value", apply to every entry.
    void start_all(const std::vector<std::string>& overrides = {});

    /// Waits until the entry has this many usable members; false on timeout.
    bool ready(const std::string& entry, std::size_t usable) const;

    /// Runs a program of the build directory and waits for it to exit.
    command_result run(std::vector<std::string> command) const;

    /// Returns the path of the settings file of a process.
    std::string settings_path(const std::string& name) const;

    child_process& process(const std::string& name);

    /// Sends a request to an entry as the customer "caster", unless the first
    /// header names another customer.
    http_result request(const std::string& entry, const std::string& pipeline,
                        const std::string& body,
                        std::vector<http_header> headers = {}) const;

    /// Calls the administration API of a process.
    http_result admin(const std::string& name, const std::string& method,
                      const std::string& path,
                      const std::string& body = {}) const;

    /// Calls the stand-in of a backend server: POST with a body, else GET.
    http_result standin(const std::string& server, const std::string& path,
                        const std::string& body = {}) const;

    /// Calls the stand-in of the platform: POST with a body, else GET.
    http_result platform(const std::string& path,
                         const std::string& body = {}) const;

    /// Replaces the rules of the fault proxy. The routes are "agent NAME"
    /// (entries to an agent), "backend NAME" (agent to its backend server),
    /// "callers NAME" (callers to an entry) and "platform".
    void faults(const nlohmann::json& rules) const;

    /// Returns the requests that the stand-ins executed.
    nlohmann::json executions() const;

    pid_t process_id(const std::string& name) const;

    std::string backend_address(const std::string& server) const;
    std::string admin_address(const std::string& name) const;
    const deployment_plan& plan() const { return plan_; }

    std::string caller_address(const std::string& entry) const;
    nlohmann::json first_value() const;

private:
    std::string instance_text(const std::string& name, const std::string& zone,
                              const std::string& region) const;
    void start(const std::string& program, const std::string& name,
               const std::string& settings,
               const std::vector<std::string>& overrides);
    std::uint16_t free_port() const;
    std::string address(const std::string& endpoint) const;
    std::string connect_address(const std::string& endpoint) const;
    void start_proxy();

    std::string folder_;
    deployment_plan plan_;
    mutable std::uint16_t next_port_ = 0;
    mutable std::map<std::string, std::uint16_t> ports_;
    std::map<std::string, std::unique_ptr<child_process>> processes_;
};

} // namespace mangolink::bench
