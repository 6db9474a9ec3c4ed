#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

/// Retry semantics of the requests of a route.
enum class route_kind : std::uint8_t
{
    idempotent,
    non_idempotent,
    streaming ///< responses are event streams
};

/// Service that receives a weighted share of the requests of a route.
struct weighted_service final
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Stage that must be completed in a stage pool before a request can run.
struct stage_definition final
{
    std::string service;
    std::vector<std::uint32_t>
        input_stages;               ///< stages whose results are inputs
    std::uint64_t result_bytes = 0; ///< approximate size of a result
};

/// Routes requests with a host and a path prefix to services.
struct gateway_route final
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    route_kind kind = route_kind::non_idempotent;
    bool resumable = false;    ///< streams can resume at another server
    bool anonymous = false;    ///< requires no API key
    bool has_affinity = false; ///< requests share prompt prefixes
    milliseconds time_limit{0};
    milliseconds latency_objective{0};
    milliseconds gap_objective{0}; ///< maximum time between events
    std::uint32_t priority = 0;    ///< 0 is the highest
    std::uint32_t max_attempts = 1;
    std::vector<weighted_service> targets;
    std::vector<stage_definition> stages;
    /// Regions that requests may be served in; nothing: all.
    std::optional<std::vector<std::string>> allowed_regions;

    /// Returns whether a request that may have been executed can be retried.
    bool is_retryable() const
    {
        return kind == route_kind::idempotent ||
               (kind == route_kind::streaming && resumable);
    }
};

} // namespace mangolink
