#pragma once

#include "base/clock.hpp"
#include "base/result_code.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink
{

/// What one stage took.
struct stage_report final
{
    std::string stage;
    std::string server;
    std::string zone;
    std::uint32_t attempts = 0;
    microseconds elapsed{0}; ///< seen by the entry
    microseconds queued{0};  ///< at the agent
    microseconds service{0}; ///< at the backend server
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t generated_tokens = 0;
    std::uint64_t cross_region_bytes = 0; ///< both ways, all attempts
};

/// The end of a request.
struct run_result final
{
    result_code code = result_code::no_answer;
    outcome end = outcome::unknown;
    std::string answer; ///< of the last stage; empty when it was streamed
    std::vector<stage_report> stages;
    microseconds retry_after{0}; ///< zero: nothing to advise
    bool repeated = false;       ///< answer of an earlier run of the key
};

} // namespace mangolink
