#include "connection/admin_responses.hpp"

#include "version/audit_trail.hpp"
#include "version/configuration_store.hpp"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <ctime>

namespace mangolink
{
namespace
{

using nlohmann::json;

std::string utc_text(std::chrono::system_clock::time_point time)
{
    const std::time_t unix_seconds = std::chrono::system_clock::to_time_t(time);
    std::tm calendar_time{};
    gmtime_r(&unix_seconds, &calendar_time);
    char buffer[32];
    const std::size_t size = std::strftime(
        buffer, sizeof buffer, "%Y-%m-%dT%H:%M:%SZ", &calendar_time);
    return {buffer, size};
}

json position_json(const configuration_position& position)
{
    return {{"number", position.number},
            {"digest", absl::StrFormat("%016x", position.digest)}};
}

} // namespace

http_response json_response(const json& body)
{
    return {200, {{"Content-Type", "application/json"}}, body.dump()};
}

http_response result_code_response(result_code code, const std::string& detail)
{
    const result_info& info = describe(code);
    const json body{{"code", static_cast<unsigned>(code)},
                    {"name", info.name},
                    {"detail", info.meaning},
                    {"value", detail}};
    return {info.http_status,
            {{"Content-Type", "application/json"}},
            body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

http_response metrics_response(std::string body)
{
    return {
        200, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(body)};
}

http_response audit_response(const audit_trail& trail)
{
    json records = json::array();
    for (const auto& record : trail.records())
    {
        records.push_back({{"time", utc_text(record.time)},
                           {"action", record.event.action},
                           {"position", position_json(record.event.position)},
                           {"author", record.event.author},
                           {"detail", record.event.detail}});
    }
    return json_response({{"records", records}});
}

http_response configuration_response(const configuration_store& store)
{
    json body = json::parse(store.snapshot_document());
    body["position"] = position_json(store.position());
    return json_response(body);
}

http_response check_patch_response(const configuration_store& store,
                                   const std::string& document)
{
    const accept_result result = store.check_patch(document);
    if (result.code != result_code::complete)
    {
        return result_code_response(result.code, result.reason);
    }
    return json_response({{"code", static_cast<unsigned>(result.code)},
                          {"publish", json::parse(document)}});
}

} // namespace mangolink
