#pragma once

#include <cstdint>
#include <string>

namespace mangolink
{

/// What a pipeline run has gathered so far; each stage reads and adds.
struct run_context final
{
    std::string body;  ///< the caller's body, as it came
    std::string input; ///< the caller's text
    std::uint32_t max_tokens = 0;
    std::uint32_t top_k = 0;
    std::string embedding; ///< JSON array, from encode
    std::string documents; ///< JSON array of texts, from retrieve/rerank
    std::string answer;    ///< text of generate, or JSON of the last call
};

} // namespace mangolink
