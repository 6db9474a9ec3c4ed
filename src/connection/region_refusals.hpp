#pragma once

#include "connection/accepted_request.hpp"

namespace mangolink
{

class event_counter;
class metrics_registry;

/// Refuses requests that no server in their allowed regions can serve, and
/// counts them by cause. Used by one thread.
class region_refusals final
{
public:
    explicit region_refusals(metrics_registry& metrics);

    /// Returns the refusal of a request that may be served in no region of
    /// this deployment. Coming back is of no use.
    refusal no_region();

    /// Returns the refusal of a request whose allowed regions have no usable
    /// server of a service that it needs.
    refusal no_server();

private:
    event_counter& no_region_;
    event_counter& no_server_;
};

} // namespace mangolink
