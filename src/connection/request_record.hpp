#pragma once

#include "base/clock.hpp"

#include <optional>
#include <string>

namespace mangolink
{

class metrics_registry;
struct accepted_request;

/// How a request of a caller ended, and what explains it.
struct request_end final
{
    unsigned status = 0; ///< 0: the caller got no complete answer
    std::string reason;
    std::string attempts;                  ///< each server and how it ended
    std::optional<milliseconds> stages;    ///< time in stages, if it had any
    std::optional<milliseconds> confirmed; ///< age of the configuration
};

/// Counts the end of a request and writes its log line.
void record_request_end(metrics_registry& metrics,
                        const accepted_request& request,
                        const request_end& end);

} // namespace mangolink
