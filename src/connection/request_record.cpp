#include "connection/request_record.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "connection/accepted_request.hpp"

namespace mangolink
{
namespace
{

std::string text_of(milliseconds value)
{
    return std::to_string(value.count());
}

} // namespace

void record_request_end(metrics_registry& metrics,
                        const accepted_request& request, const request_end& end)
{
    const auto duration = std::chrono::duration_cast<milliseconds>(
        boot_clock::now() - request.arrival);
    const std::string route =
        request.route == nullptr ? "" : request.route->name;
    const std::string label = metric_label("route", route);
    const std::string status = std::to_string(end.status);
    metrics
        .counter("mangolink_requests_total",
                 label + "," + metric_label("status", status))
        .add();
    metrics.histogram("mangolink_request_seconds", label).add(duration);
    if (!log_enabled(log_level::notice))
    {
        return;
    }
    const auto allowed = std::chrono::duration_cast<milliseconds>(
        request.deadline - request.arrival);
    const std::string version =
        request.configuration ? std::to_string(request.configuration->version())
                              : "none";
    log_notice("request", "Ended.",
               {{"id", request.metadata.id},
                {"route", route},
                {"status", status},
                {"reason", end.reason},
                {"took_ms", text_of(duration)},
                {"stages_ms", end.stages ? text_of(*end.stages) : ""},
                {"stages_expected_ms", text_of(request.expected_stages_time)},
                {"deadline_ms", text_of(allowed)},
                {"service", request.service},
                {"attempts", end.attempts},
                {"configuration", version},
                {"confirmed_ms_ago",
                 end.confirmed ? text_of(*end.confirmed) : "never"}});
}

} // namespace mangolink
