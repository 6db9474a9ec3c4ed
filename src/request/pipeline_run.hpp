#pragma once

#include "base/incarnation.hpp"
#include "process/member.hpp"
#include "request/run_request.hpp"
#include "request/run_result.hpp"
#include "request/stream_assembler.hpp"

#include <cstdint>
#include <vector>

namespace mangolink
{

/// What is known about one attempt of a stage.
enum class attempt_state : std::uint8_t
{
    pending, ///< sent; may run
    refused, ///< proven: did not run and never will
    ended,   ///< ran; its end was reported
    lost     ///< no answer will come; may have run
};

/// One message to one agent asking it to run the current stage.
struct stage_attempt final
{
    member_id where{};
    incarnation target_incarnation;
    std::uint32_t stage = 0;
    std::uint32_t number = 0;
    attempt_state state = attempt_state::pending;
    stream_assembler assembler;
};

/// State of one request from its admission to its end. Plain data with the
/// conclusions that can be drawn from it; run_executor acts on it.
class pipeline_run final
{
public:
    explicit pipeline_run(run_request request);

    run_request request;
    std::uint32_t stage = 0;
    std::vector<stage_attempt> attempts; ///< of all stages
    std::vector<stage_report> reports;   ///< one per started stage
    boot_clock::time_point stage_started;
    std::uint64_t delivered_bytes = 0; ///< of the stream, to the caller

    const pipeline_stage& current_stage() const;
    bool last_stage() const;

    /// Returns the attempt of the current stage with this number, or nullptr.
    stage_attempt* find_attempt(std::uint32_t stage_index,
                                std::uint32_t number);

    /// Returns how many attempts the current stage has had.
    std::uint32_t attempts_of_stage() const;

    /// Returns the members that attempts of the current stage used.
    std::vector<member_id> members_tried() const;

    /// Returns what is proven about the run when it ends without an answer.
    outcome proven_outcome() const;
};

} // namespace mangolink
