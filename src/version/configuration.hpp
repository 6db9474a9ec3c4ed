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

/// Place of a value in the history of the configuration.
struct configuration_position final
{
    std::uint64_t number = 0; ///< 0: none yet
    std::uint64_t digest = 0;

    friend bool operator==(const configuration_position&,
                           const configuration_position&) = default;
};

/// One backend server of a pool.
struct backend_server final
{
    std::string name;
    std::string pool;
    std::string zone;
    std::string region;
    std::string agent_address; ///< host:port of its agent
};

/// Backend servers that can stand in for one another.
struct server_pool final
{
    std::string name;
    std::vector<std::uint32_t> servers; ///< indexes into servers()
};

/// A model that engines serve.
struct served_model final
{
    std::string name;
    std::string version;
    std::vector<std::string> adapters; ///< sorted
};

/// One step of a pipeline.
struct pipeline_stage final
{
    std::string name;
    stage_kind kind = stage_kind::call;
    std::uint32_t pool = 0; ///< index into pools()
    std::string path;       ///< of the call at the backend server
    std::string model;      ///< for generate; one of models() if any is named
    std::string adapter;    ///< of the model; empty: none
    bool idempotent = true;
    std::uint64_t estimate_key = 0; ///< names it to the service estimator
};

/// Stages in order, and who may run them.
struct pipeline final
{
    std::string name;
    std::vector<pipeline_stage> stages;
    std::vector<std::string> customers; ///< sorted; empty: all
    milliseconds default_deadline{3000};

    /// Returns whether the customer may use the pipeline.
    bool allows(std::string_view customer) const;
};

/// Share and limits of one customer.
struct customer final
{
    std::string name;
    std::uint32_t share = 1;
    double requests_per_second = 0; ///< per entry instance; 0: no limit
    double burst = 0;               ///< requests
};

/// One accepted value of the configuration; immutable and shared by threads.
class configuration final
{
public:
    /// Reads a value; throws configuration_error that names the place.
    static std::shared_ptr<const configuration>
    parse(const nlohmann::json& value, configuration_position position);

    const configuration_position& position() const { return position_; }
    const std::vector<backend_server>& servers() const { return servers_; }
    const std::vector<server_pool>& pools() const { return pools_; }
    const std::vector<pipeline>& pipelines() const { return pipelines_; }
    const std::vector<customer>& customers() const { return customers_; }
    const std::vector<served_model>& models() const { return models_; }

    /// Return nullptr when there is none of this name.
    const pipeline* find_pipeline(std::string_view name) const;
    const customer* find_customer(std::string_view name) const;
    const server_pool* find_pool(std::string_view name) const;
    const served_model* find_model(std::string_view name) const;

private:
    friend class configuration_parser;

    configuration_position position_;
    std::vector<backend_server> servers_;
    std::vector<server_pool> pools_;
    std::vector<pipeline> pipelines_;
    std::vector<customer> customers_;
    std::vector<served_model> models_;
    absl::flat_hash_map<std::string, std::uint32_t> pool_index_;
    absl::flat_hash_map<std::string, std::uint32_t> pipeline_index_;
    absl::flat_hash_map<std::string, std::uint32_t> customer_index_;
};

} // namespace mangolink
