#include "version/configuration_parser.hpp"

#include "base/hash.hpp"
#include "version/configuration_error.hpp"

#include <algorithm>
#include <initializer_list>

namespace mangolink
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_stages = 6;
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::int64_t max_share = 1000;
constexpr double max_rate = 1e6;

void require_object(const json& value, const std::string& location)
{
    if (!value.is_object())
    {
        throw configuration_error(location, "must be an object");
    }
}

void require_known(const json& value, const std::string& location,
                   std::initializer_list<std::string_view> known)
{
    require_object(value, location);
    for (const auto& member : value.items())
    {
        if (std::find(known.begin(), known.end(), member.key()) == known.end())
        {
            throw configuration_error(location + "/" + member.key(),
                                      "unknown member");
        }
    }
}

std::string required_string(const json& value, const std::string& location,
                            const char* key)
{
    const auto found = value.find(key);
    if (found == value.end())
    {
        throw configuration_error(location, std::string("missing ") + key);
    }
    if (!found->is_string() || found->get_ref<const std::string&>().empty())
    {
        throw configuration_error(location + "/" + key,
                                  "must be a non-empty string");
    }
    return found->get<std::string>();
}

std::string string_or(const json& value, const std::string& location,
                      const char* key, const std::string& fallback)
{
    return value.contains(key) ? required_string(value, location, key)
                               : fallback;
}

std::int64_t integer_or(const json& value, const std::string& location,
                        const char* key, std::int64_t fallback,
                        std::int64_t max_value)
{
    const auto found = value.find(key);
    if (found == value.end())
    {
        return fallback;
    }
    if (!found->is_number_integer() || found->get<std::int64_t>() < 1 ||
        found->get<std::int64_t>() > max_value)
    {
        throw configuration_error(location + "/" + key,
                                  "must be a whole number from 1 to " +
                                      std::to_string(max_value));
    }
    return found->get<std::int64_t>();
}

double rate_or_zero(const json& value, const std::string& location,
                    const char* key)
{
    const auto found = value.find(key);
    if (found == value.end())
    {
        return 0;
    }
    if (!found->is_number() || found->get<double>() < 0 ||
        found->get<double>() > max_rate)
    {
        throw configuration_error(location + "/" + key,
                                  "must be a number from 0 to 1000000");
    }
    return found->get<double>();
}

bool bool_or(const json& value, const std::string& location, const char* key,
             bool fallback)
{
    const auto found = value.find(key);
    if (found == value.end())
    {
        return fallback;
    }
    if (!found->is_boolean())
    {
        throw configuration_error(location + "/" + key,
                                  "must be true or false");
    }
    return found->get<bool>();
}

std::string default_path(stage_kind kind)
{
    switch (kind)
    {
    case stage_kind::encode:
        return "/v1/embeddings";
    case stage_kind::retrieve:
        return "/v1/retrieve";
    case stage_kind::rerank:
        return "/v1/rerank";
    case stage_kind::generate:
        return "/v1/completions";
    case stage_kind::call:
        break;
    }
    return "/";
}

const json& section(const json& value, const char* key)
{
    static const json none = json::object();
    const auto found = value.find(key);
    if (found == value.end())
    {
        return none;
    }
    require_object(*found, std::string("/") + key);
    return *found;
}

} // namespace

configuration_parser::configuration_parser(configuration_position position)
    : result_(std::make_shared<configuration>())
{
    result_->position_ = position;
}

std::shared_ptr<const configuration>
configuration_parser::parse(const json& value)
{
    require_known(
        value, "",
        {"pools", "backend_servers", "customers", "models", "pipelines"});
    parse_pools(section(value, "pools"));
    parse_servers(section(value, "backend_servers"));
    parse_customers(section(value, "customers"));
    parse_models(section(value, "models"));
    parse_pipelines(section(value, "pipelines"));
    return std::move(result_);
}

void configuration_parser::parse_pools(const json& value)
{
    for (const auto& member : value.items())
    {
        require_known(member.value(), "/pools/" + member.key(), {"comment"});
        result_->pool_index_[member.key()] =
            static_cast<std::uint32_t>(result_->pools_.size());
        result_->pools_.push_back({member.key(), {}});
    }
}

void configuration_parser::parse_servers(const json& value)
{
    for (const auto& member : value.items())
    {
        const std::string location = "/backend_servers/" + member.key();
        const json& fields = member.value();
        require_known(fields, location, {"pool", "zone", "region", "agent"});
        configured_server server{member.key(),
                                 required_string(fields, location, "pool"),
                                 required_string(fields, location, "zone"),
                                 required_string(fields, location, "region"),
                                 required_string(fields, location, "agent")};
        const auto pool = result_->pool_index_.find(server.pool);
        if (pool == result_->pool_index_.end())
        {
            throw configuration_error(location + "/pool",
                                      "no pool " + server.pool);
        }
        result_->pools_[pool->second].servers.push_back(
            static_cast<std::uint32_t>(result_->servers_.size()));
        result_->servers_.push_back(std::move(server));
    }
}

void configuration_parser::parse_customers(const json& value)
{
    for (const auto& member : value.items())
    {
        const std::string location = "/customers/" + member.key();
        const json& fields = member.value();
        require_known(fields, location,
                      {"share", "requests_per_second", "burst"});
        customer parsed;
        parsed.name = member.key();
        parsed.share = static_cast<std::uint32_t>(
            integer_or(fields, location, "share", 1, max_share));
        parsed.requests_per_second =
            rate_or_zero(fields, location, "requests_per_second");
        parsed.burst = rate_or_zero(fields, location, "burst");
        result_->customer_index_[parsed.name] =
            static_cast<std::uint32_t>(result_->customers_.size());
        result_->customers_.push_back(std::move(parsed));
    }
}

void configuration_parser::parse_models(const json& value)
{
    for (const auto& member : value.items())
    {
        const std::string location = "/models/" + member.key();
        const json& fields = member.value();
        require_known(fields, location, {"version", "adapters"});
        served_model model;
        model.name = member.key();
        model.version = required_string(fields, location, "version");
        for (const auto& adapter : fields.value("adapters", json::array()))
        {
            if (!adapter.is_string())
            {
                throw configuration_error(location + "/adapters",
                                          "must be a list of names");
            }
            model.adapters.push_back(adapter.get<std::string>());
        }
        std::sort(model.adapters.begin(), model.adapters.end());
        result_->models_.push_back(std::move(model));
    }
}

void configuration_parser::check_model(const std::string& location,
                                       const pipeline_stage& stage) const
{
    if (stage.kind != stage_kind::generate || result_->models_.empty())
    {
        return;
    }
    const served_model* model = result_->find_model(stage.model);
    if (model == nullptr)
    {
        throw configuration_error(location + "/model",
                                  "no model " + stage.model);
    }
    const bool known = stage.adapter.empty() ||
                       std::binary_search(model->adapters.begin(),
                                          model->adapters.end(), stage.adapter);
    if (!known)
    {
        throw configuration_error(location + "/adapter",
                                  "no adapter " + stage.adapter);
    }
}

void configuration_parser::parse_pipelines(const json& value)
{
    for (const auto& member : value.items())
    {
        parse_pipeline(member.key(), member.value());
    }
}

void configuration_parser::parse_pipeline(const std::string& name,
                                          const json& value)
{
    const std::string location = "/pipelines/" + name;
    require_known(value, location, {"stages", "customers", "deadline_ms"});
    pipeline parsed;
    parsed.name = name;
    parsed.default_deadline = milliseconds(
        integer_or(value, location, "deadline_ms", 3000, max_deadline_ms));
    const auto stages = value.find("stages");
    if (stages == value.end() || !stages->is_array() || stages->empty() ||
        stages->size() > max_stages)
    {
        throw configuration_error(location + "/stages",
                                  "must be a list of 1 to 6 stages");
    }
    for (std::size_t i = 0; i < stages->size(); ++i)
    {
        parsed.stages.push_back(parse_stage(
            location + "/stages/" + std::to_string(i), (*stages)[i]));
    }
    if (value.contains("customers"))
    {
        for (const auto& entry : value["customers"])
        {
            if (!entry.is_string() ||
                !result_->customer_index_.contains(entry.get<std::string>()))
            {
                throw configuration_error(location + "/customers",
                                          "no customer " + entry.dump());
            }
            parsed.customers.push_back(entry.get<std::string>());
        }
        std::sort(parsed.customers.begin(), parsed.customers.end());
    }
    result_->pipeline_index_[name] =
        static_cast<std::uint32_t>(result_->pipelines_.size());
    result_->pipelines_.push_back(std::move(parsed));
}

pipeline_stage configuration_parser::parse_stage(const std::string& location,
                                                 const json& value)
{
    require_known(
        value, location,
        {"name", "kind", "pool", "path", "model", "adapter", "idempotent"});
    pipeline_stage stage;
    stage.name = required_string(value, location, "name");
    const auto kind =
        stage_kind_from_name(required_string(value, location, "kind"));
    if (!kind)
    {
        throw configuration_error(
            location + "/kind",
            "must be encode, retrieve, rerank, generate or call");
    }
    stage.kind = *kind;
    const std::string pool = required_string(value, location, "pool");
    const auto found = result_->pool_index_.find(pool);
    if (found == result_->pool_index_.end())
    {
        throw configuration_error(location + "/pool", "no pool " + pool);
    }
    stage.pool = found->second;
    stage.path = string_or(value, location, "path", default_path(*kind));
    stage.model = string_or(value, location, "model", "default");
    stage.adapter = string_or(value, location, "adapter", "");
    check_model(location, stage);
    stage.idempotent = bool_or(value, location, "idempotent", true);
    stage.estimate_key = stable_hash(location);
    return stage;
}

} // namespace mangolink
