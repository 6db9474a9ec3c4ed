#pragma once

#include "version/configuration.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace mangolink
{

/// Builds a configuration from its JSON value and validates every member.
class configuration_parser final
{
public:
    explicit configuration_parser(configuration_position position);

    /// Returns the parsed configuration; throws configuration_error.
    std::shared_ptr<const configuration> parse(const nlohmann::json& value);

private:
    using json = nlohmann::json;

    void parse_pools(const json& value);
    void parse_servers(const json& value);
    void parse_customers(const json& value);
    void parse_models(const json& value);
    void check_model(const std::string& location,
                     const pipeline_stage& stage) const;
    void parse_pipelines(const json& value);
    void parse_pipeline(const std::string& name, const json& value);
    pipeline_stage parse_stage(const std::string& location, const json& value);

    std::shared_ptr<configuration> result_;
};

} // namespace mangolink
