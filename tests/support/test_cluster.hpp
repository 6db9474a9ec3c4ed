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

/// Gateway process with its settings and log file.
class gateway_process final
{
public:
    /// Writes the settings and starts the program. `seeds` are the addresses of
    /// other gateways; `extra_settings` is appended to the settings.
    gateway_process(const std::string& name, const std::string& store,
                    const std::vector<std::string>& seeds,
                    const std::string& folder,
                    const std::string& extra_settings);

    socket_address callers() const { return {host_, 7000}; }
    socket_address readiness() const { return {host_, 7001}; }
    socket_address operators() const { return {host_, 7002}; }
    std::string peers() const { return host_ + ":7003"; }

    /// Returns whether the readiness endpoint answers 200.
    bool ready() const;

    /// Returns whether the gateway reads the store itself.
    bool reads_store() const;

    /// Returns the body of a page of the operator endpoint.
    std::string fetch_operator_page(const std::string& path) const;

    /// Returns whether the gateway soon knows this number of servers.
    bool wait_for_servers(std::size_t count) const;

    /// Returns the contents of the log.
    std::string log_text() const;

    const std::string& settings_path() const { return settings_path_; }

    bench::child_process& process() { return *process_; }

    /// Starts the process, again after it has exited, at the same address.
    void start();

private:
    std::string host_;
    std::string settings_path_;
    std::string log_path_;
    std::unique_ptr<bench::child_process> process_;
};

/// Cluster on loopback: store, backend servers, stage servers and gateways. The
/// stand-ins run in this process, the gateways in their own.
class test_cluster final
{
public:
    test_cluster();

    /// Add a server of a service and register it in the store.
    backend_standin& add_backend(const std::string& service,
                                 const std::string& id);
    stage_server_standin& add_stage_server(const std::string& service,
                                           const std::string& id,
                                           milliseconds call_time);

    /// Writes the entry of a server with a state and a new sequence number.
    void register_server(const std::string& id, const std::string& state);
    void unregister_server(const std::string& id);

    /// Registers another start of a server under its id.
    void restart_server(const std::string& id);

    /// Returns the configuration for changes; publish() writes it to the store
    /// under a new version.
    nlohmann::json& configuration() { return configuration_; }
    void publish();

    /// Adds a route for host "site.example".
    nlohmann::json& add_route(const std::string& prefix,
                              const std::string& kind,
                              const std::string& service);

    /// Adds a pool of stage servers to the configuration.
    void add_stage_pool(const std::string& service);

    /// Adds the pool "encode" and lets the requests of a route pass one stage
    /// there.
    void add_stage(nlohmann::json& route,
                   milliseconds latency_objective = milliseconds(2000));

    /// Starts a gateway and waits until it is ready. `extra_settings` is
    /// appended to its settings, whose last table is that of the instance.
    /// `store` is the address of its store, by default that of the first.
    gateway_process& start_gateway(const std::string& extra_settings = {},
                                   const std::string& store = {});

    /// Registers a server under another address, such as that of a proxy.
    void set_address(const std::string& id, const std::string& address);

    /// Registers a server in another zone. Gateways are in zone z1 of region
    /// r1; zone z2 is in region r2.
    void set_zone(const std::string& id, const std::string& zone);

    /// Registers a server as cold for a time; 0: not cold.
    void set_cold(const std::string& id, milliseconds remaining);

    /// Requests that a zone gets no new work, and takes it back.
    void evacuate(const std::string& zone);
    void take_back(const std::string& zone);

    /// Registers a server as one of another service.
    void set_service(const std::string& id, const std::string& service);

    /// Returns the folder with the settings and logs of the gateways.
    const std::string& folder() const { return folder_; }

    /// Adds a store with the same entries as the first, so that store faults
    /// can affect some of the gateways only. Entries written before are not
    /// copied.
    store_standin& add_store();

    /// Returns a request with an id, a key and a deadline.
    static text_request request(const std::string& path, const std::string& id,
                                milliseconds deadline = milliseconds(5000));

    /// Returns a request with `items` items in its stage.
    static text_request
    staged_request(const std::string& path, const std::string& id,
                   const std::string& items = "2",
                   milliseconds deadline = milliseconds(5000));

    store_standin& store() { return store_; }
    gateway_process& gateway(std::size_t index) { return *gateways_[index]; }

private:
    struct registration final
    {
        std::string service;
        std::string address;
        unsigned sequence = 0;
        std::uint64_t started_ms = 1'000'000;
        std::string zone = "z1";
        milliseconds cold{0};
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

/// API key of the customer in the configuration.
constexpr const char* test_key = "key-of-casters";

} // namespace mangolink::test
