#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/forward_protocol.hpp"
#include "version/gateway_configuration.hpp"

#include <memory>
#include <string>

namespace mangolink
{

/// What was decided of a request when it arrived. The configuration of that
/// moment holds for all of the request.
struct accepted_request final
{
    request_metadata metadata;
    std::shared_ptr<const gateway_configuration> configuration;
    const gateway_route* route = nullptr;
    const gateway_customer* customer = nullptr; ///< null: none is needed
    std::string service;
    boot_clock::time_point arrival;
    boot_clock::time_point deadline;
    milliseconds uncorrected_stages_time{0}; ///< by the servers' outlooks
    milliseconds expected_stages_time{0};    ///< corrected by what others met
};

/// Answer of a request that has not run.
struct refusal final
{
    http::status status = http::status::service_unavailable;
    std::string reason;
    milliseconds retry_delay{0}; ///< 0: not said
};

} // namespace mangolink
