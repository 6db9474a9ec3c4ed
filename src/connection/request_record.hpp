#pragma once

#include "base/clock.hpp"

#include <optional>
#include <string>

namespace mangolink
{

class metrics_registry;
struct accepted_request;

/// Outcome of a caller's request, for the metrics and the log.
struct request_end final
{
    unsigned status = 0; ///< 0: the caller got no complete answer
    std::string reason;
    std::string attempts;               ///< each server and the outcome there
    std::optional<milliseconds> stages; ///< time spent in stages, if any
    std::optional<milliseconds> confirmed; ///< age of the configuration
};

/// Counts the end of a request and writes its log line.
void record_request_end(metrics_registry& metrics,
                        const accepted_request& request,
                        const request_end& end);

} // namespace mangolink
