#include "base/result_code.hpp"

#include <algorithm>
#include <array>

namespace mangolink
{
namespace
{

using rc = result_code;

constexpr std::array table{
    result_info{rc::complete, "complete", 200, "The whole answer follows."},
    result_info{rc::malformed_request, "malformed_request", 400,
                "The request line, headers or JSON body cannot be read."},
    result_info{rc::unknown_pipeline, "unknown_pipeline", 404,
                "No pipeline of this name is configured."},
    result_info{rc::unknown_customer, "unknown_customer", 403,
                "No customer of this name is configured."},
    result_info{rc::customer_not_allowed, "customer_not_allowed", 403,
                "The customer may not use this pipeline."},
    result_info{rc::bad_deadline, "bad_deadline", 400,
                "The deadline is not a number of milliseconds in range."},
    result_info{rc::body_too_large, "body_too_large", 413,
                "The body is larger than the limit."},
    result_info{rc::bad_header, "bad_header", 400,
                "A header is repeated or has a value out of range."},
    result_info{rc::newer_schema, "newer_schema", 502,
                "The peer speaks a newer message schema."},
    result_info{rc::key_reused, "key_reused", 422,
                "The idempotency key was used with another body."},
    result_info{rc::key_invalid, "key_invalid", 400,
                "The idempotency key was not issued by this system."},
    result_info{rc::bad_stage_input, "bad_stage_input", 400,
                "The body is not what the first stage takes."},
    result_info{rc::not_found, "not_found", 404, "No such resource."},
    result_info{rc::request_too_slow, "request_too_slow", 408,
                "The request did not arrive in time."},
    result_info{rc::method_not_allowed, "method_not_allowed", 405,
                "The resource does not take this method."},
    result_info{rc::deadline_unreachable, "deadline_unreachable", 503,
                "The expected completion is later than the deadline."},
    result_info{rc::queue_full, "queue_full", 503,
                "The queue of the backend server is full."},
    result_info{rc::customer_over_limit, "customer_over_limit", 429,
                "The customer is over its request rate."},
    result_info{rc::deadline_passed, "deadline_passed", 504,
                "The deadline passed before anything ran."},
    result_info{rc::entry_overloaded, "entry_overloaded", 503,
                "The entry instance holds its limit of requests."},
    result_info{rc::no_server, "no_server", 503,
                "No backend server of the pool is reachable."},
    result_info{rc::leaving, "leaving", 503,
                "The instance is leaving and takes no new work."},
    result_info{rc::stale_incarnation, "stale_incarnation", 503,
                "The addressed process is not the one that answers."},
    result_info{rc::cancelled, "cancelled", 499,
                "The attempt was withdrawn before it ran."},
    result_info{rc::not_ready, "not_ready", 503,
                "The instance has no configuration yet."},
    result_info{rc::server_unreachable, "server_unreachable", 503,
                "The backend server refused the connection."},
    result_info{rc::duplicate_attempt, "duplicate_attempt", 503,
                "A copy of an attempt that was already decided."},
    result_info{rc::stage_failed, "stage_failed", 502,
                "A stage ran and answered with an error."},
    result_info{rc::stream_broken, "stream_broken", 502,
                "A streamed answer ended before its final mark."},
    result_info{rc::deadline_passed_running, "deadline_passed_running", 504,
                "The deadline passed after a stage had run."},
    result_info{rc::caller_gone, "caller_gone", 499,
                "The caller closed the connection."},
    result_info{rc::bad_answer, "bad_answer", 502,
                "A stage answered with something the next cannot take."},
    result_info{rc::no_answer, "no_answer", 504,
                "An attempt may have run; no answer came."},
    result_info{rc::key_in_progress, "key_in_progress", 409,
                "A request with this idempotency key is running."},
    result_info{rc::key_owner_gone, "key_owner_gone", 504,
                "The instance that owned the idempotency key is gone."},
    result_info{rc::outdated_base, "outdated_base", 409,
                "The patch builds on an outdated number."},
    result_info{rc::bad_patch, "bad_patch", 422,
                "The patch cannot be applied or its result is not valid."},
    result_info{rc::unauthorized, "unauthorized", 401,
                "The administration key is missing or wrong."},
};

constexpr bool by_code(const result_info& info, result_code code)
{
    return info.code < code;
}

} // namespace

std::span<const result_info> result_table()
{
    return table;
}

const result_info& describe(result_code code)
{
    const auto* info =
        std::lower_bound(table.begin(), table.end(), code, by_code);
    if (info == table.end() || info->code != code)
    {
        return describe(result_code::no_answer);
    }
    return *info;
}

result_code result_code_from_wire(std::uint32_t number)
{
    return describe(static_cast<result_code>(number)).code;
}

std::string_view outcome_name(outcome value)
{
    constexpr std::array<std::string_view, 4> names{"complete", "not_run",
                                                    "failed", "unknown"};
    return names[static_cast<std::size_t>(value)];
}

} // namespace mangolink
