#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// Times and cost of one stage as reported in the response.
struct stage_cost final
{
    std::string stage;
    double elapsed_ms = 0; ///< measured by the entry
    double queued_ms = 0;  ///< at the agent
    double service_ms = 0; ///< at the backend server
    std::uint64_t recomputed_tokens = 0;
    std::uint64_t cross_region_bytes = 0;
};

/// Measured result of one request.
struct load_sample final
{
    std::uint32_t kind = 0;
    std::string outcome; ///< as reported; empty: no response
    std::uint32_t code = 0;
    microseconds start{0};       ///< intended, since the start of the run
    microseconds latency{0};     ///< from the intended start
    microseconds first_token{0}; ///< from the intended start; 0: none
    std::uint32_t tokens = 0;
    std::vector<float> gaps_ms; ///< between tokens
    std::vector<stage_cost> stages;
};

} // namespace mangolink::bench
