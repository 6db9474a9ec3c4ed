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

/// State of an attempt of a stage.
enum class attempt_state : std::uint8_t
{
    pending, ///< sent; may run
    refused, ///< proven not to have run, now or later
    ended,   ///< ran; its result was reported
    lost     ///< no answer is expected; may have run
};

/// Request to an agent to run the current stage.
struct stage_attempt final
{
    member_id receiver{};
    incarnation target_incarnation;
    std::uint32_t stage = 0;
    std::uint32_t number = 0;
    attempt_state state = attempt_state::pending;
    stream_assembler assembler;
};

/// State of a request from admission to completion. Holds data and queries on
/// it; the logic is in run_executor.
class pipeline_run final
{
public:
    explicit pipeline_run(run_request request);

    run_request request;
    std::uint32_t stage = 0;
    std::vector<stage_attempt> attempts; ///< of all stages
    std::vector<stage_report> reports;   ///< one per started stage
    boot_clock::time_point stage_started;
    std::uint64_t delivered_bytes = 0; ///< streamed to the caller so far

    const pipeline_stage& current_stage() const;
    bool last_stage() const;

    /// Returns the attempt with this stage and number, or nullptr.
    stage_attempt* find_attempt(std::uint32_t stage_index,
                                std::uint32_t number);

    /// Returns the number of attempts of the current stage.
    std::uint32_t attempts_of_stage() const;

    /// Returns the members that received attempts of the current stage.
    std::vector<member_id> members_tried() const;

    /// Returns the outcome that can be proven for a run that ends without an
    /// answer.
    outcome proven_outcome() const;
};

} // namespace mangolink
