#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace mangolink
{

/// Parameters of a stage pool. All values are per backend server.
struct stage_pool_parameters final
{
    std::uint32_t parallel_calls = 1;
    std::uint32_t max_queued_calls = 0;
    std::uint32_t batch_size = 1;
    microseconds call_time{0};
    microseconds item_time{0}; ///< approximate; differs by stage
    std::uint64_t result_memory_bytes = 0;
    milliseconds result_lifetime{0};
};

/// Group of interchangeable backend servers.
struct gateway_service final
{
    std::string name;
    std::uint32_t max_connections = 1; ///< per server, from all callers
    std::uint32_t engine_slots = 0;    ///< 0: not a model engine
    std::optional<stage_pool_parameters> pool;
    /// Requests a second that a server takes from all callers together while
    /// it is cold; 0: no limit.
    double cold_per_second = 0;
};

} // namespace mangolink
