#pragma once

#include "connection/admin_server.hpp"
#include "connection/http_message.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace mangolink
{

class audit_trail;
class command_queue;
class configuration_store;
class metrics_registry;

/// Objects used by the routes of every process; all outlive the server.
struct common_admin_dependencies final
{
    command_queue& commands; ///< of the loop that owns the store
    configuration_store& store;
    audit_trail& trail;
    metrics_registry& metrics;
    std::function<void()> begin_drain;
    std::function<http_response()> status; ///< called on the loop
};

/// Calls `make` on the event loop of the queue and sends its response.
void respond_on_loop(command_queue& commands,
                     const std::shared_ptr<http_exchange>& exchange,
                     std::function<http_response()> make);

/// Returns the routes for status, configuration, patch validation, drain, audit
/// trail and metrics.
std::vector<admin_route>
common_admin_routes(const common_admin_dependencies& dependencies);

} // namespace mangolink
