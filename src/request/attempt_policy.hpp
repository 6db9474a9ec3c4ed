#pragma once

#include "version/gateway_route.hpp"

#include <cstdint>

namespace mangolink
{

/// How one send of a request to a backend server ended.
enum class attempt_outcome : std::uint8_t
{
    unsent,      ///< no byte of it was handed to the connection
    refused,     ///< the server proved that it did not run it
    inputs_gone, ///< proven not run: stage results it needs no longer exist
    answered,    ///< complete answer, also one that tells of a failure
    broken       ///< sent; no complete answer, so it may have run
};

/// What is known of a request when an attempt has ended.
struct request_progress final
{
    std::uint32_t sends = 0;     ///< attempts handed to a connection
    bool may_have_run = false;   ///< of any attempt so far
    bool answer_begun = false;   ///< the caller has seen part of an answer
    bool time_left = true;       ///< enough for another attempt
    bool server_failure = false; ///< the answer tells of a server's failure
};

/// What to do next with a request.
enum class next_step : std::uint8_t
{
    deliver, ///< pass the answer on
    retry,   ///< needs the retry allowance
    resume,  ///< go on with the stream after its last event; allowance too
    refuse,  ///< tell the caller that it has not run
    fail,    ///< tell the caller that the outcome is unknown
    cut      ///< break the begun answer off, visibly incomplete
};

/// Decides how a request goes on after an attempt, from the route and the
/// progress alone. `allowed`: the retry allowance has room.
///
/// A request that is not idempotent is sent again only when every attempt is
/// proven not to have run, and is never refused once one may have run.
next_step decide_next(const gateway_route& route, attempt_outcome end,
                      const request_progress& progress, bool allowed);

} // namespace mangolink
