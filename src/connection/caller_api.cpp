#include "connection/caller_api.hpp"

#include "request/stage_codec.hpp"
#include "version/configuration.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace mangolink
{
namespace
{

using nlohmann::json;

constexpr std::string_view path_prefix = "/v1/pipelines/";
constexpr std::string_view customer_header = "Mangolink-Customer";
constexpr std::string_view deadline_header = "Mangolink-Deadline-Ms";
constexpr std::string_view priority_header = "Mangolink-Priority";
constexpr std::string_view key_header = "Idempotency-Key";
constexpr std::uint32_t default_priority = 5;
constexpr std::uint32_t lowest_priority = 9;

constexpr std::array non_repeatable_headers{customer_header, deadline_header,
                                            priority_header, key_header,
                                            std::string_view("Content-Length")};

/// Parts of a path "/v1/pipelines/{name}/{action}".
struct resource_path final
{
    std::string_view pipeline;
    std::string_view action;
};

std::optional<resource_path> parse_resource_path(std::string_view path)
{
    if (!path.starts_with(path_prefix))
    {
        return std::nullopt;
    }
    path.remove_prefix(path_prefix.size());
    const auto slash = path.find('/');
    if (slash == std::string_view::npos)
    {
        return std::nullopt;
    }
    return resource_path{path.substr(0, slash), path.substr(slash + 1)};
}

template <class T>
std::optional<T> parse_integer(std::string_view text)
{
    T value{};
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    if (text.empty() || read.ec != std::errc() || read.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

double to_ms(microseconds value)
{
    return static_cast<double>(value.count()) / 1000.0;
}

json stage_json(const stage_report& report)
{
    return {{"stage", report.stage},
            {"server", report.server},
            {"zone", report.zone},
            {"attempts", report.attempts},
            {"elapsed_ms", to_ms(report.elapsed)},
            {"queued_ms", to_ms(report.queued)},
            {"service_ms", to_ms(report.service)},
            {"prompt_tokens", report.prompt_tokens},
            {"cached_tokens", report.cached_tokens},
            {"generated_tokens", report.generated_tokens},
            {"cross_region_bytes", report.cross_region_bytes}};
}

json cost_json(const run_result& result)
{
    microseconds service{0};
    std::uint64_t recomputed = 0;
    std::uint64_t cross_region = 0;
    for (const auto& report : result.stages)
    {
        service += report.service;
        recomputed += report.prompt_tokens -
                      std::min(report.prompt_tokens, report.cached_tokens);
        cross_region += report.cross_region_bytes;
    }
    return {{"service_ms", to_ms(service)},
            {"recomputed_prompt_tokens", recomputed},
            {"cross_region_bytes", cross_region}};
}

json result_json(const request_id& id, const run_result& result)
{
    const result_info& info = describe(result.code);
    json body{{"request_id", id.text()},
              {"code", static_cast<unsigned>(result.code)},
              {"name", info.name},
              {"outcome", outcome_name(result.end)},
              {"cost", cost_json(result)}};
    body["stages"] = json::array();
    for (const auto& report : result.stages)
    {
        body["stages"].push_back(stage_json(report));
    }
    if (result.end != outcome::complete)
    {
        body["detail"] = info.meaning;
    }
    if (result.repeated)
    {
        body["repeated"] = true;
    }
    return body;
}

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<http_header> result_headers(const request_id& id, result_code code,
                                        outcome end, microseconds retry_after)
{
    std::vector<http_header> headers{
        {"Content-Type", "application/json"},
        {"Mangolink-Request-Id", id.text()},
        {"Mangolink-Code", std::to_string(static_cast<unsigned>(code))},
        {"Mangolink-Outcome", std::string(outcome_name(end))}};
    if (retry_after > microseconds(0))
    {
        const auto retry_after_seconds =
            std::chrono::ceil<std::chrono::seconds>(retry_after);
        headers.push_back(
            {"Retry-After", std::to_string(retry_after_seconds.count())});
    }
    return headers;
}

} // namespace

caller_api::caller_api(caller_api_settings settings) : settings_(settings)
{
}

caller_api::parsed
caller_api::parse(const http_request& request,
                  std::shared_ptr<const configuration> version,
                  const request_id& id, boot_clock::time_point now) const
{
    const auto resource = parse_resource_path(request.path);
    if (!resource ||
        (resource->action != "requests" && resource->action != "keys"))
    {
        return request_error{result_code::not_found, request.path};
    }
    if (request.method != "POST")
    {
        return request_error{result_code::method_not_allowed, request.method};
    }
    if (!version)
    {
        return request_error{result_code::not_ready, {}};
    }
    for (const auto& name : non_repeatable_headers)
    {
        if (request.count(name) > 1)
        {
            return request_error{result_code::bad_header,
                                 std::string(name) + " is repeated"};
        }
    }
    const pipeline* selected_pipeline =
        version->find_pipeline(resource->pipeline);
    if (selected_pipeline == nullptr)
    {
        return request_error{result_code::unknown_pipeline,
                             std::string(resource->pipeline)};
    }
    const auto customer_name = request.header(customer_header);
    if (version->find_customer(customer_name) == nullptr)
    {
        return request_error{result_code::unknown_customer,
                             std::string(customer_name)};
    }
    if (!selected_pipeline->allows(customer_name))
    {
        return request_error{result_code::customer_not_allowed,
                             std::string(customer_name)};
    }
    if (resource->action == "keys")
    {
        return key_request{std::move(version), selected_pipeline};
    }
    return parse_run(request, *selected_pipeline, std::move(version), id, now);
}

http_response caller_api::error_response(const request_id& id,
                                         const request_error& error)
{
    const result_info& info = describe(error.code);
    json body{{"request_id", id.text()},
              {"code", static_cast<unsigned>(error.code)},
              {"name", info.name},
              {"outcome", outcome_name(outcome::not_run)},
              {"detail", info.meaning}};
    if (!error.detail.empty())
    {
        body["value"] = error.detail;
    }
    return {info.http_status,
            result_headers(id, error.code, outcome::not_run, microseconds(0)),
            dump(body)};
}

http_response caller_api::result_response(const request_id& id,
                                          const run_result& result)
{
    json body = result_json(id, result);
    if (result.end == outcome::complete)
    {
        json answer = json::parse(result.answer, nullptr, false);
        body["answer"] = answer.is_discarded() || !answer.is_structured()
                             ? json(result.answer)
                             : std::move(answer);
    }
    return {describe(result.code).http_status,
            result_headers(id, result.code, result.end, result.retry_after),
            dump(body)};
}

http_response caller_api::stream_head(const request_id& id)
{
    return {200,
            {{"Content-Type", "text/event-stream"},
             {"Cache-Control", "no-store"},
             {"Mangolink-Request-Id", id.text()}},
            {}};
}

std::string caller_api::token_event(std::string_view text)
{
    return "event: token\ndata: {\"text\":" + dump(json(text)) + "}\n\n";
}

std::string caller_api::outcome_event(const request_id& id,
                                      const run_result& result)
{
    return "event: outcome\ndata: " + dump(result_json(id, result)) + "\n\n";
}

caller_api::parsed
caller_api::parse_run(const http_request& request,
                      const pipeline& selected_pipeline,
                      std::shared_ptr<const configuration> version,
                      const request_id& id, boot_clock::time_point now) const
{
    const auto deadline = deadline_of(request, selected_pipeline);
    if (!deadline)
    {
        return request_error{
            result_code::bad_deadline,
            "1 to " + std::to_string(settings_.max_deadline.count())};
    }
    run_request run;
    run.priority = default_priority;
    if (request.count(priority_header) > 0)
    {
        const auto priority =
            parse_integer<std::uint32_t>(request.header(priority_header));
        if (!priority || *priority > lowest_priority)
        {
            return request_error{result_code::bad_header,
                                 "Mangolink-Priority must be 0 to 9"};
        }
        run.priority = *priority;
    }
    run.key_text = std::string(request.header(key_header));
    if (!run.key_text.empty())
    {
        run.key = idempotency_key::parse(run.key_text);
        if (!run.key)
        {
            return request_error{result_code::key_invalid,
                                 "obtain one from POST " +
                                     std::string(path_prefix) +
                                     selected_pipeline.name + "/keys"};
        }
    }
    auto context =
        read_caller_body(selected_pipeline.stages.front().kind, request.body);
    if (!context)
    {
        return request_error{result_code::bad_stage_input, {}};
    }
    run.id = id;
    run.context = std::move(*context);
    run.selected_pipeline = &selected_pipeline;
    run.requesting_customer =
        version->find_customer(request.header(customer_header));
    run.version = std::move(version);
    run.deadline = now + *deadline;
    run.streamed = request.header("Accept") == "text/event-stream" &&
                   codec_of(selected_pipeline.stages.back().kind).streamed;
    return run;
}

std::optional<milliseconds>
caller_api::deadline_of(const http_request& request,
                        const pipeline& selected_pipeline) const
{
    if (request.count(deadline_header) == 0)
    {
        return selected_pipeline.default_deadline;
    }
    const auto value =
        parse_integer<std::int64_t>(request.header(deadline_header));
    if (!value || *value < 1 || *value > settings_.max_deadline.count())
    {
        return std::nullopt;
    }
    return milliseconds(*value);
}

} // namespace mangolink
