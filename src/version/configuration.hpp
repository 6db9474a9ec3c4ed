#pragma once

#include "base/clock.hpp"
#include "base/stage_kind.hpp"

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// Identifies one value in the history of the configuration.
struct configuration_position final
{
    std::uint64_t number = 0; ///< 0: no configuration yet
    std::uint64_t digest = 0;

    friend bool operator==(const configuration_position&,
                           const configuration_position&) = default;
};

/// A backend server of a pool, as the configuration lists it.
struct configured_server final
{
    std::string name;
    std::string pool;
    std::string zone;
    std::string region;
    std::string agent_address; ///< host:port of its agent
};

/// A group of interchangeable backend servers.
struct server_pool final
{
    std::string name;
    std::vector<std::uint32_t> servers; ///< indexes into servers()
};

/// A model served by engines.
struct served_model final
{
    std::string name;
    std::string version;
    std::vector<std::string> adapters; ///< sorted
};

/// A stage of a pipeline.
struct pipeline_stage final
{
    std::string name;
    stage_kind kind = stage_kind::call;
    std::uint32_t pool = 0; ///< index into pools()
    std::string path;       ///< URL path of the backend call
    std::string model;   ///< for generate; one of models() unless that is empty
    std::string adapter; ///< adapter of the model; empty: none
    bool idempotent = true;
    std::uint64_t estimate_key = 0; ///< key in the service estimator
};

/// Sequence of stages and the customers that may use it.
struct pipeline final
{
    std::string name;
    std::vector<pipeline_stage> stages;
    std::vector<std::string> customers; ///< sorted; empty: all
    milliseconds default_deadline{3000};

    /// Returns whether the customer may use the pipeline.
    bool allows(std::string_view customer) const;
};

/// Scheduling share and rate limit of a customer.
struct customer final
{
    std::string name;
    std::uint32_t share = 1;
    double requests_per_second = 0; ///< per entry instance; 0: no limit
    double burst = 0;               ///< requests
};

/// An accepted configuration. Immutable, may be shared by threads.
class configuration final
{
public:
    /// Parses a value. Throws configuration_error with the location in the
    /// value.
    static std::shared_ptr<const configuration>
    parse(const nlohmann::json& value, configuration_position position);

    const configuration_position& position() const { return position_; }
    const std::vector<configured_server>& servers() const { return servers_; }
    const std::vector<server_pool>& pools() const { return pools_; }
    const std::vector<pipeline>& pipelines() const { return pipelines_; }
    const std::vector<customer>& customers() const { return customers_; }
    const std::vector<served_model>& models() const { return models_; }

    /// Return nullptr if there is no element of this name.
    const pipeline* find_pipeline(std::string_view name) const;
    const customer* find_customer(std::string_view name) const;
    const server_pool* find_pool(std::string_view name) const;
    const served_model* find_model(std::string_view name) const;

private:
    friend class configuration_parser;

    configuration_position position_;
    std::vector<configured_server> servers_;
    std::vector<server_pool> pools_;
    std::vector<pipeline> pipelines_;
    std::vector<customer> customers_;
    std::vector<served_model> models_;
    absl::flat_hash_map<std::string, std::uint32_t> pool_index_;
    absl::flat_hash_map<std::string, std::uint32_t> pipeline_index_;
    absl::flat_hash_map<std::string, std::uint32_t> customer_index_;
};

} // namespace mangolink
