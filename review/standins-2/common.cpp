#include "cases.hpp"

#include <nlohmann/json.hpp>

namespace review
{
namespace
{

using nlohmann::json;

json configuration(unsigned version, json routes, json services)
{
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", std::move(services)},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants", {{{"name", "bozi300"}, {"apiKeys", {tenant_key}}}}}};
}

json stage_service(const std::string& name, milliseconds call)
{
    return {{"name", name},
            {"healthPath", "/healthz"},
            {"maxConnections", 96},
            {"protocol", "h1"},
            {"tls", false},
            {"segments",
             {{"slots", 1},
              {"queueDepth", 2},
              {"batchSize", 16},
              {"callTimeMs", call.count()},
              {"itemTimeMs", 8},
              {"headroomMb", 72},
              {"handleTtlS", 4.0},
              {"linkMbps", 10000}}}};
}

} // namespace

json desk_configuration(unsigned version)
{
    const json route{{"name", "r-orders"},   {"hostname", "pule25.example"},
                     {"prefix", "/orders/"}, {"routeType", "non_idempotent"},
                     {"timeoutMs", 5000},    {"targetLatencyMs", 500},
                     {"priority", 2},        {"service", "desk"},
                     {"maxAttempts", 1},     {"anonymous", false}};
    const json service{{"name", "desk"},
                       {"healthPath", "/healthz"},
                       {"maxConnections", 96},
                       {"protocol", "h1"},
                       {"tls", false}};
    return configuration(version, json::array({route}), json::array({service}));
}

json model_configuration(unsigned version, milliseconds second_call)
{
    const json stages = json::array(
        {{{"service", "encode"}, {"after", json::array()}, {"length", 8000}},
         {{"service", "retrieve"},
          {"after", json::array()},
          {"length", 8000}}});
    const json route{{"name", "r-review"},      {"hostname", "pule25.example"},
                     {"prefix", "/review/"},    {"routeType", "streaming"},
                     {"streamResume", true},    {"sessionAffinity", true},
                     {"targetGapMs", 400},      {"timeoutMs", 8000},
                     {"targetLatencyMs", 4000}, {"priority", 0},
                     {"service", "model"},      {"maxAttempts", 2},
                     {"anonymous", false},      {"phases", stages}};
    const json model{{"name", "model"},       {"healthPath", "/healthz"},
                     {"maxConnections", 610}, {"protocol", "h1"},
                     {"tls", false},          {"engine", {{"slots", 128}}}};
    return configuration(
        version, json::array({route}),
        json::array({model, stage_service("encode", milliseconds(150)),
                     stage_service("retrieve", second_call)}));
}

json query_configuration(unsigned version)
{
    const json route{{"name", "r-query"},       {"hostname", "pule25.example"},
                     {"prefix", "/query/"},     {"routeType", "streaming"},
                     {"streamResume", false},   {"sessionAffinity", true},
                     {"targetGapMs", 400},      {"timeoutMs", 5000},
                     {"targetLatencyMs", 2200}, {"priority", 1},
                     {"service", "model"},      {"maxAttempts", 1},
                     {"anonymous", false}};
    const json model{{"name", "model"},       {"healthPath", "/healthz"},
                     {"maxConnections", 610}, {"protocol", "h1"},
                     {"tls", false},          {"engine", {{"slots", 128}}}};
    return configuration(version, json::array({route}), json::array({model}));
}

std::string request_head(const std::string& path, const std::string& id,
                         const std::string& key)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: pule25.example\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: 8000\r\nX-Key: " + key + "\r\n";
}

std::optional<message> read_answer(connection& from, const std::string& id,
                                   record& log, milliseconds limit)
{
    auto answer = from.read(limit);
    log.add(
        "requester gets for " + id + ": " +
        (answer
             ? answer->start + (answer->complete ? ", complete" : ", cut off") +
                   ", body of " + std::to_string(answer->body.size()) + " bytes"
             : "nothing"));
    return answer;
}

} // namespace review
