#pragma once

#include "version/gateway_route.hpp"

#include <cstdint>

namespace mangolink
{

/// Outcome of sending a request to a backend server.
enum class attempt_outcome : std::uint8_t
{
    unsent,      ///< no byte was written to the connection
    refused,     ///< the server confirmed that it did not run the request
    inputs_gone, ///< not run: required stage results no longer exist
    answered,    ///< complete answer, which may report a failure
    broken       ///< sent without a complete answer; may have run
};

/// State of a request at the end of an attempt.
struct request_progress final
{
    std::uint32_t sends = 0;     ///< attempts written to a connection
    bool may_have_run = false;   ///< any attempt so far may have run
    bool answer_begun = false;   ///< part of an answer was sent to the caller
    bool time_left = true;       ///< another attempt fits before the deadline
    bool server_failure = false; ///< the answer reports a server failure
};

/// Next action for a request.
enum class next_step : std::uint8_t
{
    deliver, ///< forward the answer to the caller
    retry,   ///< requires the retry budget
    resume,  ///< continue the stream after its last event; requires the budget
    refuse,  ///< report that the request has not run
    fail,    ///< report that the outcome is unknown
    cut      ///< abort the partial answer so that it is visibly incomplete
};

/// Decides how a request continues after an attempt. A pure function of its
/// arguments.
///
/// A request that is not idempotent is retried only if no attempt can have run,
/// and is never reported as not run once an attempt may have run.
///
/// @param allowed  The retry budget permits another send.
next_step decide_next(const gateway_route& route, attempt_outcome end,
                      const request_progress& progress, bool allowed);

} // namespace mangolink
