#pragma once

#include "soak/soak_record.hpp"

#include <string>
#include <vector>

namespace mangolink::test
{

class soak_cluster;
class soak_faults;

/// Compares the answers that callers got with the executions at the servers.
/// Returns a line for each violation of these guarantees: no request or answer
/// is altered, invented or delivered to another caller; non-idempotent requests
/// run at most once; requests refused as not run did not run; streams are
/// complete and in order; stage items get the inputs of their own request;
/// requests with a revoked key do not run.
std::vector<std::string> find_violations(const soak_cluster& cluster,
                                         const std::vector<soak_record>& all);

/// Returns a line for each request that was refused for a part that crashes no
/// server.
std::vector<std::string>
find_wrong_refusals(const std::vector<soak_record>& all);

/// Returns a line if gateways in touch sent too many requests with the part
/// that crashes servers after its fifth crash.
std::vector<std::string> find_late_sends(const soak_cluster& cluster,
                                         const soak_faults& faults,
                                         const std::vector<soak_record>& all);

/// Returns a line for each server that got more requests from gateways in touch
/// than the rate limit allows that it named.
std::vector<std::string>
find_exceeded_limits(const soak_cluster& cluster, const soak_faults& faults,
                     const std::vector<soak_record>& all);

/// Returns a line for each request that reached a server of an evacuated zone
/// too late, or a server outside of the regions that its route allows.
std::vector<std::string>
find_misplaced_runs(const soak_cluster& cluster, const soak_faults& faults,
                    const std::vector<soak_record>& all);

/// Returns a line for each cold server that got more requests than it takes.
std::vector<std::string> find_overheated(const soak_cluster& cluster,
                                         const soak_faults& faults);

/// Waits until every gateway serves again. Returns a line for each that does
/// not, and appends the records of the requests that it sends to `all`.
std::vector<std::string>
find_unrecovered_gateways(soak_cluster& cluster, std::vector<soak_record>& all);

} // namespace mangolink::test
