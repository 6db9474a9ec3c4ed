#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>

namespace mangolink::bench
{

/// Size of a made-up deployment.
struct synthetic_size final
{
    std::size_t engines = 720;
    std::size_t customers = 1300;
    std::size_t pipelines = 14;
    std::size_t models = 6;
};

/// Returns a configuration value of this size: engines divided over a pool
/// per model, other servers at a sixth of their number, five zones in two
/// regions.
nlohmann::json synthetic_configuration(const synthetic_size& size);

} // namespace mangolink::bench
