#pragma once

#include "base/clock.hpp"
#include "base/result_code.hpp"
#include "base/stage_kind.hpp"
#include "request/request_id.hpp"

#include <cstdint>
#include <string>

namespace mangolink
{

/// Names one call of an agent at its backend server.
enum class call_id : std::uint64_t
{
};

/// What an agent sends to its backend server.
struct backend_call final
{
    call_id id{};
    stage_kind kind = stage_kind::call;
    std::string path;
    std::string body;
    bool idempotent = true;
    bool streamed = false;
    std::string key;    ///< idempotency key, empty when there is none
    request_id request; ///< told to the backend server in a header
    microseconds time_limit{0};
};

/// How a call at the backend server ended.
struct backend_answer final
{
    result_code code = result_code::stage_failed;
    bool handed_over = true; ///< false: no byte reached the backend server
    std::uint32_t http_status = 0;
    std::string body; ///< empty when streamed
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t generated_tokens = 0;
};

} // namespace mangolink
