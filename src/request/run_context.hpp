#pragma once

#include <cstdint>
#include <string>

namespace mangolink
{

/// Data that the stages of a pipeline run read and extend.
struct run_context final
{
    std::string body;  ///< unmodified body of the caller's request
    std::string input; ///< input text of the caller
    std::uint32_t max_tokens = 0;
    std::uint32_t top_k = 0;
    std::string embedding; ///< JSON array, from encode
    std::string documents; ///< JSON array of texts, from retrieve/rerank
    std::string answer;    ///< text of generate, or JSON of the last call
};

} // namespace mangolink
