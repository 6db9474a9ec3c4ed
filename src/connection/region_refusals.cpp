#include "connection/region_refusals.hpp"

#include "base/metrics.hpp"

namespace mangolink
{
namespace
{

constexpr const char* refusals_metric = "mangolink_region_refusals_total";

/// Retry-After while the allowed regions have no server. A lost region needs
/// seconds to return.
constexpr milliseconds retry_delay{1000};

} // namespace

region_refusals::region_refusals(metrics_registry& metrics)
    : no_region_(metrics.counter(refusals_metric, "why=\"no_region\"")),
      no_server_(metrics.counter(refusals_metric, "why=\"no_server\""))
{
}

refusal region_refusals::no_region()
{
    no_region_.add();
    return {http::status::service_unavailable, "no allowed region", {}};
}

refusal region_refusals::no_server()
{
    no_server_.add();
    return {http::status::service_unavailable,
            "no server in the allowed regions", retry_delay};
}

} // namespace mangolink
