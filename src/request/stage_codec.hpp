#pragma once

#include "base/stage_kind.hpp"
#include "request/run_context.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace mangolink
{

struct pipeline_stage;

/// Encodes calls and decodes answers of one kind of stage.
struct stage_codec final
{
    /// Returns the JSON body of the call.
    std::string (*request_body)(const run_context&, const pipeline_stage&,
                                std::uint32_t priority);

    /// Adds a complete answer to the context. Returns false if it is malformed.
    bool (*parse_answer)(run_context&, std::string_view body);

    /// Returns the size of the work, in units proportional to the service time.
    double (*work_units)(const run_context&);

    /// Whether the answer is a stream of tokens.
    bool streamed;
};

/// Returns the codec of a kind of stage.
const stage_codec& codec_of(stage_kind kind);

/// Parses the caller's body for a pipeline whose first stage has this kind.
/// Returns nullopt if the body is invalid for the stage.
std::optional<run_context> read_caller_body(stage_kind first, std::string body);

} // namespace mangolink
