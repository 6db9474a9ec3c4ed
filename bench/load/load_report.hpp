#pragma once

#include "load/load_plan.hpp"
#include "load/load_sample.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace mangolink::bench
{

/// Sums up a run: attainment in all, by customer and by class; latency, first
/// token and gaps between tokens; outcomes and codes; cost by stage.
nlohmann::json make_report(const load_plan& plan,
                           const std::vector<load_sample>& samples);

/// Returns one line per request: start, class, outcome, latency, time seen by
/// the entry, queued, service and first token, in milliseconds.
std::string sample_lines(const load_plan& plan,
                         const std::vector<load_sample>& samples);

} // namespace mangolink::bench
