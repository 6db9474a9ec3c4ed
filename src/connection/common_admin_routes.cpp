#include "connection/common_admin_routes.hpp"

#include "base/metrics.hpp"
#include "connection/admin_answers.hpp"
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

admin_route configuration_route(const common_admin_parts& parts)
{
    return {"GET", "/v1/configuration",
            [parts](const exchange_pointer& exchange)
            {
                answer_on_loop(parts.commands, exchange,
                               [parts]
                               { return configuration_answer(parts.store); });
            }};
}

admin_route check_route(const common_admin_parts& parts)
{
    return {"POST", "/v1/patches/check",
            [parts](const exchange_pointer& exchange)
            {
                answer_on_loop(parts.commands, exchange,
                               [parts, exchange] {
                                   return check_patch_answer(
                                       parts.store, exchange->request().body);
                               });
            }};
}

admin_route drain_route(const common_admin_parts& parts)
{
    return {"POST", "/v1/drain",
            [parts](const exchange_pointer& exchange)
            {
                parts.trail.record(
                    {"drain", parts.store.position(), "", "by the API"});
                parts.begin_drain();
                exchange->respond(json_answer({{"draining", true}}));
            }};
}

} // namespace

void answer_on_loop(command_queue& commands,
                    const std::shared_ptr<http_exchange>& exchange,
                    std::function<http_answer()> make)
{
    commands.push([exchange, make = std::move(make)]
                  { exchange->respond(make()); });
}

std::vector<admin_route> common_admin_routes(const common_admin_parts& parts)
{
    return {
        {"GET", "/v1/status",
         [parts](const exchange_pointer& exchange)
         { answer_on_loop(parts.commands, exchange, parts.status); }},
        configuration_route(parts),
        check_route(parts),
        drain_route(parts),
        {"GET", "/v1/audit",
         [parts](const exchange_pointer& exchange)
         { exchange->respond(audit_answer(parts.trail)); }},
        {"GET", "/metrics",
         [parts](const exchange_pointer& exchange)
         { exchange->respond(text_answer(parts.metrics.page())); }},
    };
}

} // namespace mangolink
