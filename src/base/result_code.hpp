#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace mangolink
{

/// What a caller may conclude about a request.
enum class outcome : std::uint8_t
{
    complete, ///< the whole answer was delivered
    not_run,  ///< guaranteed: no stage ran anywhere
    failed,   ///< a stage ran; there is no complete answer
    unknown   ///< an attempt may have run; this cannot be determined
};

/// Numbered result of a request or an attempt; docs/result-codes.md lists all.
///
/// 1000: complete. 11xx: invalid request. 12xx: rejected for lack of capacity
/// or time. 13xx: rejected because of the state of a process. 14xx: failed
/// after running. 15xx: unknown outcome. 16xx: configuration and
/// administration.
enum class result_code : std::uint16_t
{
    complete = 1000,

    malformed_request = 1100,
    unknown_pipeline = 1101,
    unknown_customer = 1102,
    customer_not_allowed = 1103,
    bad_deadline = 1104,
    body_too_large = 1105,
    bad_header = 1106,
    newer_schema = 1107,
    key_reused = 1108,
    key_invalid = 1109,
    bad_stage_input = 1110,
    not_found = 1111,
    request_too_slow = 1112,
    method_not_allowed = 1113,

    deadline_unreachable = 1200,
    queue_full = 1201,
    customer_over_limit = 1202,
    deadline_passed = 1203,
    entry_overloaded = 1204,

    no_server = 1300,
    leaving = 1301,
    stale_incarnation = 1302,
    cancelled = 1303,
    not_ready = 1304,
    server_unreachable = 1305,
    duplicate_attempt = 1306,

    stage_failed = 1400,
    stream_broken = 1401,
    deadline_passed_running = 1402,
    caller_gone = 1403,
    bad_answer = 1404,

    no_answer = 1500,
    key_in_progress = 1501,
    key_owner_gone = 1502,

    outdated_base = 1600,
    bad_patch = 1601,
    unauthorized = 1602
};

/// Description of a result code.
struct result_info final
{
    result_code code;
    std::string_view name;
    std::uint16_t http_status;
    std::string_view meaning;
};

/// Returns every code in ascending order.
std::span<const result_info> result_table();

/// Returns the description of a code. Unknown codes, which a newer peer may
/// send, get the description of no_answer.
const result_info& describe(result_code code);

/// Returns the code with this number, or no_answer when there is none.
result_code result_code_from_wire(std::uint32_t number);

/// Returns the name used in responses: "complete", "not_run", "failed" or
/// "unknown".
std::string_view outcome_name(outcome value);

} // namespace mangolink
