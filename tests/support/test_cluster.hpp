#pragma once

#include "lab/child_process.hpp"
#include "standins/backend_standin.hpp"
#include "standins/stage_server_standin.hpp"
#include "standins/store_standin.hpp"
#include "support/test_caller.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace mangolink::test
{

/// Gateway process of a test.
class gateway_process final
{
public:
    /// Starts the program; `seeds` are addresses of other gateways.
    gateway_process(const std::string& name, const std::string& store,
                    const std::vector<std::string>& seeds,
                    const std::string& folder,
                    const std::string& extra_settings);

    socket_address callers() const { return {host_, 7000}; }
    socket_address readiness() const { return {host_, 7001}; }
    socket_address operators() const { return {host_, 7002}; }
    std::string peers() const { return host_ + ":7003"; }

    /// Returns whether the balancer would send it connections.
    bool ready() const;

    /// Returns whether it reads the store itself.
    bool reads_store() const;

    /// Returns the answer of the operators' address to a path.
    std::string fetch_operator_page(const std::string& path) const;

    /// Returns all that it has written to its log.
    std::string log_text() const;

    bench::child_process& process() { return *process_; }

    /// Starts it again after its end, at the same address.
    void start();

private:
    std::string host_;
    std::string settings_path_;
    std::string log_path_;
    std::unique_ptr<bench::child_process> process_;
};

/// A platform on loopback: a store, backend servers and gateways.
class test_cluster final
{
public:
    test_cluster();

    /// Adds a server of a service and registers it in the store.
    backend_standin& add_backend(const std::string& service,
                                 const std::string& id);
    stage_server_standin& add_stage_server(const std::string& service,
                                           const std::string& id,
                                           milliseconds call_time);

    /// Writes a server's entry in the store again, with a state.
    void register_server(const std::string& id, const std::string& state);
    void unregister_server(const std::string& id);

    /// Returns the configuration to change; publish() puts it in force.
    nlohmann::json& configuration() { return configuration_; }
    void publish();

    /// Adds a route for host "site.example".
    nlohmann::json& add_route(const std::string& prefix,
                              const std::string& kind,
                              const std::string& service);

    /// Starts a gateway and waits until it is ready. `more`: settings besides
    /// those of every gateway. `store`: address of the one it reads; empty: the
    /// first.
    gateway_process& start_gateway(const std::string& extra_settings = {},
                                   const std::string& store = {});

    /// Makes a server's entry name another address, as of a proxy before it.
    void set_address(const std::string& id, const std::string& address);

    /// Returns where the gateways' settings and logs are.
    const std::string& folder() const { return folder_; }

    /// Adds a store that shows the same as the first, so that faults of the
    /// store can meet some gateways only.
    store_standin& add_store();

    /// Returns a request for a path, with an id, a key and a deadline.
    static text_request request(const std::string& path, const std::string& id,
                                milliseconds deadline = milliseconds(5000));

    store_standin& store() { return store_; }
    gateway_process& gateway(std::size_t index) { return *gateways_[index]; }

private:
    struct registration final
    {
        std::string service;
        std::string address;
        unsigned sequence = 0;
    };

    void put(const std::string& key, const std::string& value);

    store_standin store_;
    std::vector<std::unique_ptr<store_standin>> extra_stores_;
    std::map<std::string, registration> registrations_;
    std::vector<std::unique_ptr<backend_standin>> backends_;
    std::vector<std::unique_ptr<stage_server_standin>> stage_servers_;
    std::vector<std::unique_ptr<gateway_process>> gateways_;
    nlohmann::json configuration_;
    std::string folder_;
};

/// API key of the site's customer.
constexpr const char* test_key = "key-of-casters";

} // namespace mangolink::test
