#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/forward_protocol.hpp"
#include "version/gateway_configuration.hpp"

#include <memory>
#include <string>

namespace mangolink
{

/// Data of a request as determined on arrival. The request uses the
/// configuration of that time until it ends.
struct accepted_request final
{
    request_metadata metadata;
    std::shared_ptr<const gateway_configuration> configuration;
    const gateway_route* route = nullptr;
    const gateway_customer* customer = nullptr; ///< null: none required
    std::string service;
    boot_clock::time_point arrival;
    boot_clock::time_point deadline;
    milliseconds uncorrected_stages_time{0}; ///< from load reports
    milliseconds expected_stages_time{0};    ///< corrected by measured times
    /// Send reserved under rate limits until the request is sent; may be null.
    std::shared_ptr<const void> reservation;
};

/// Error response to a request that was not executed.
struct refusal final
{
    http::status status = http::status::service_unavailable;
    std::string reason;
    milliseconds retry_delay{0}; ///< 0: no Retry-After
};

} // namespace mangolink
