#pragma once

#include "base/clock.hpp"
#include "base/result_code.hpp"
#include "base/stage_kind.hpp"
#include "request/request_id.hpp"

#include <cstdint>
#include <string>

namespace mangolink
{

/// Identifies one call of an agent to its backend server.
enum class call_id : std::uint64_t
{
};

/// Call of an agent to its backend server.
struct backend_call final
{
    call_id id{};
    stage_kind kind = stage_kind::call;
    std::string path;
    std::string body;
    bool idempotent = true;
    bool streamed = false;
    std::string key;    ///< idempotency key, or empty
    request_id request; ///< sent to the backend server in a header
    microseconds time_limit{0};
};

/// Result of a call to the backend server.
struct backend_answer final
{
    result_code code = result_code::stage_failed;
    bool handed_over =
        true; ///< false if no byte was sent to the backend server
    std::uint32_t http_status = 0;
    std::string body; ///< empty when streamed
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t generated_tokens = 0;
};

} // namespace mangolink
