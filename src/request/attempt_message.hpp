#pragma once

#include "base/clock.hpp"

namespace mangolink::wire
{
class envelope;
}

namespace mangolink
{

class pipeline_run;
struct stage_attempt;

/// Writes the message that asks an agent to run the current stage.
void write_submit(const pipeline_run& run, const stage_attempt& attempt,
                  microseconds budget, microseconds expected_work,
                  wire::envelope& message);

/// Writes the message that cancels an attempt.
void write_cancel(const pipeline_run& run, const stage_attempt& attempt,
                  wire::envelope& message);

} // namespace mangolink
