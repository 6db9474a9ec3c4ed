#pragma once

#include "load/load_plan.hpp"
#include "load/load_sample.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace mangolink::bench
{

/// Summarizes a run: attainment overall, by customer and by class; latency,
/// time to first token and between tokens; outcomes and codes; cost by stage.
nlohmann::json make_report(const load_plan& plan,
                           const std::vector<load_sample>& samples);

/// Returns one line per request: start, class, outcome, latency, time measured
/// by the entry, queueing time, service time and time to first token. Times are
/// in milliseconds.
std::string sample_lines(const load_plan& plan,
                         const std::vector<load_sample>& samples);

} // namespace mangolink::bench
