#pragma once

#include "base/stage_kind.hpp"
#include "request/run_context.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace mangolink
{

struct pipeline_stage;

/// How one kind of stage speaks to its backend server.
struct stage_codec final
{
    /// Returns the JSON body of the call.
    std::string (*request_body)(const run_context&, const pipeline_stage&,
                                std::uint32_t priority);

    /// Adds the whole answer to the context; false when it is not readable.
    bool (*parse_answer)(run_context&, std::string_view body);

    /// Returns the size of the work, in units that service times grow with.
    double (*work_units)(const run_context&);

    /// Whether the answer arrives as a stream of tokens.
    bool streamed;
};

/// Returns the codec of a kind.
const stage_codec& codec_of(stage_kind kind);

/// Reads the caller's body for a pipeline whose first stage has this kind.
/// Empty when the body is not what the stage takes.
std::optional<run_context> read_caller_body(stage_kind first, std::string body);

} // namespace mangolink
