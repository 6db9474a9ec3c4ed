#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>

namespace mangolink::bench
{

/// Size of a synthetic deployment.
struct synthetic_size final
{
    std::size_t engines = 720;
    std::size_t customers = 1300;
    std::size_t pipelines = 14;
    std::size_t models = 6;
};

/// Returns a configuration value of this size: one pool of engines per model,
/// three other pools with a sixth as many servers each, five zones in two
/// regions.
nlohmann::json synthetic_configuration(const synthetic_size& size);

} // namespace mangolink::bench
