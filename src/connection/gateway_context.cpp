#include "connection/gateway_context.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "connection/accepted_request.hpp"
#include "connection/socket_state.hpp"
#include "roles/gateway_state.hpp"

namespace mangolink
{

caller_limits gateway_context::limits() const
{
    const auto& configuration = state.configuration();
    return configuration ? configuration->limits() : caller_limits();
}

region_set gateway_context::regions_of(const accepted_request& request) const
{
    return state.allowed_regions(*request.configuration, *request.route,
                                 request.customer);
}

void gateway_context::record_unreadable_request(const tcp::socket& socket,
                                                http::status status) const
{
    const std::string code = std::to_string(static_cast<unsigned>(status));
    metrics
        .counter("mangolink_unread_requests_total", "status=\"" + code + "\"")
        .add();
    log_notice("caller", "Request could not be read.",
               {{"status", code}, {"peer", peer_name(socket)}});
}

} // namespace mangolink
