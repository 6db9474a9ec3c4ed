#pragma once

#include "connection/asio_types.hpp"
#include "connection/backend_exchange.hpp"
#include "process/region_set.hpp"
#include "version/gateway_configuration.hpp"

#include <cstddef>
#include <optional>
#include <set>

namespace mangolink
{

class backend_pool;
class forward_run;
class forward_protocol;
class gateway_state;
class memory_budget;
class metrics_registry;
class prompt_guard;
class region_refusals;
class server_limit_guard;
class stage_dispatcher;
struct accepted_request;
struct gateway_settings;

/// State shared by all connections and requests of a gateway. Lives as long as
/// the gateway; used by one thread.
struct gateway_context final
{
    asio::io_context& io;
    const gateway_settings& settings;
    const forward_protocol& protocol;
    metrics_registry& metrics;
    gateway_state& state;
    memory_budget& memory;
    backend_pool& connections;
    stage_dispatcher& stages;
    prompt_guard& prompts;
    server_limit_guard& server_limits;
    region_refusals& refusals_by_region;
    answer_listener listener; ///< of the answers of backend servers
    bool stopping = false;
    bool rejecting_requests = false; ///< stopping; new requests are rejected
    /// When a stop ends the open requests.
    std::optional<boot_clock::time_point> stop_limit = {};
    std::size_t open_callers = 0;
    std::set<forward_run*> open_requests = {};

    /// Returns the current limits for callers.
    caller_limits limits() const;

    /// Returns the regions that an accepted request may be served in now.
    region_set regions_of(const accepted_request& request) const;

    /// Logs and counts a request that could not be read.
    void record_unreadable_request(const tcp::socket& socket,
                                   http::status status) const;
};

} // namespace mangolink
