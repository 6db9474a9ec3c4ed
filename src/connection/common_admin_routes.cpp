#include "connection/common_admin_routes.hpp"

#include "base/metrics.hpp"
#include "connection/admin_responses.hpp"
#include "connection/command_queue.hpp"
#include "connection/http_exchange.hpp"
#include "version/audit_trail.hpp"
#include "version/configuration_store.hpp"

#include <nlohmann/json.hpp>

namespace mangolink
{
namespace
{

using exchange_pointer = std::shared_ptr<http_exchange>;

admin_route configuration_route(const common_admin_dependencies& dependencies)
{
    return {"GET", "/v1/configuration",
            [dependencies](const exchange_pointer& exchange)
            {
                respond_on_loop(
                    dependencies.commands, exchange,
                    [dependencies]
                    { return configuration_response(dependencies.store); });
            }};
}

admin_route check_route(const common_admin_dependencies& dependencies)
{
    return {"POST", "/v1/patches/check",
            [dependencies](const exchange_pointer& exchange)
            {
                respond_on_loop(dependencies.commands, exchange,
                                [dependencies, exchange] {
                                    return check_patch_response(
                                        dependencies.store,
                                        exchange->request().body);
                                });
            }};
}

admin_route drain_route(const common_admin_dependencies& dependencies)
{
    return {"POST", "/v1/drain",
            [dependencies](const exchange_pointer& exchange)
            {
                dependencies.trail.record(
                    {"drain", dependencies.store.position(), "", "by the API"});
                dependencies.begin_drain();
                exchange->respond(json_response({{"draining", true}}));
            }};
}

} // namespace

void respond_on_loop(command_queue& commands,
                     const std::shared_ptr<http_exchange>& exchange,
                     std::function<http_response()> make)
{
    commands.push([exchange, make = std::move(make)]
                  { exchange->respond(make()); });
}

std::vector<admin_route>
common_admin_routes(const common_admin_dependencies& dependencies)
{
    return {
        {"GET", "/v1/status",
         [dependencies](const exchange_pointer& exchange) {
             respond_on_loop(dependencies.commands, exchange,
                             dependencies.status);
         }},
        configuration_route(dependencies),
        check_route(dependencies),
        drain_route(dependencies),
        {"GET", "/v1/audit",
         [dependencies](const exchange_pointer& exchange)
         { exchange->respond(audit_response(dependencies.trail)); }},
        {"GET", "/metrics",
         [dependencies](const exchange_pointer& exchange)
         { exchange->respond(metrics_response(dependencies.metrics.page())); }},
    };
}

} // namespace mangolink
