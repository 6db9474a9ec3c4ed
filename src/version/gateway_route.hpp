#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink
{

/// What a route promises about repeating its requests.
enum class route_kind : std::uint8_t
{
    idempotent,
    non_idempotent,
    streaming ///< answers are event streams
};

/// Part of a route's requests that goes to one service.
struct weighted_service final
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Work in a stage pool that must be done before a request can run.
struct stage_definition final
{
    std::string service;
    std::vector<std::uint32_t> input_stages; ///< stages whose results it needs
    std::uint64_t result_bytes = 0;          ///< approximate size of a result
};

/// Rule that sends requests of a host and path prefix to services.
struct gateway_route final
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    route_kind kind = route_kind::non_idempotent;
    bool resumable = false;    ///< a stream may go on at another backend server
    bool anonymous = false;    ///< needs no API key
    bool has_affinity = false; ///< requests share prompt prefixes
    milliseconds time_limit{0};
    milliseconds latency_objective{0};
    milliseconds gap_objective{0}; ///< longest pause between events
    std::uint32_t priority = 0;    ///< 0 is the most urgent
    std::uint32_t max_attempts = 1;
    std::vector<weighted_service> targets;
    std::vector<stage_definition> stages;

    /// Returns whether a request that may have run can be sent again.
    bool is_retryable() const
    {
        return kind == route_kind::idempotent ||
               (kind == route_kind::streaming && resumable);
    }
};

} // namespace mangolink
