#pragma once

#include "soak/soak_record.hpp"

#include <string>
#include <vector>

namespace mangolink::test
{

class soak_cluster;

/// Compares what callers got with what servers ran; returns a line for each
/// promise that was broken: nothing altered, delivered to another or made up;
/// at most once; "not run" true; streams in order and whole; pieces with the
/// inputs of their request; keys that were taken away stay away.
std::vector<std::string> find_violations(const soak_cluster& cluster,
                                         const std::vector<soak_record>& all);

/// Waits until every gateway serves again; returns a line for each that does
/// not, and adds the requests it made.
std::vector<std::string>
find_unrecovered_gateways(soak_cluster& cluster, std::vector<soak_record>& all);

} // namespace mangolink::test
