#pragma once

#include "base/clock.hpp"
#include "base/result_code.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink
{

/// Measurements of one stage.
struct stage_report final
{
    std::string stage;
    std::string server;
    std::string zone;
    std::uint32_t attempts = 0;
    microseconds elapsed{0}; ///< measured by the entry instance
    microseconds queued{0};  ///< wait in the queue of the agent
    microseconds service{0}; ///< processing by the backend server
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t generated_tokens = 0;
    std::uint64_t cross_region_bytes = 0; ///< both directions, all attempts
};

/// Result of a request.
struct run_result final
{
    result_code code = result_code::no_answer;
    outcome end = outcome::unknown;
    std::string answer; ///< of the last stage; empty if it was streamed
    std::vector<stage_report> stages;
    microseconds retry_after{0}; ///< zero when there is no advice
    bool repeated = false; ///< stored answer of an earlier request with the key
};

} // namespace mangolink
