#pragma once

#include "base/clock.hpp"
#include "connection/accepted_request.hpp"

#include <optional>

namespace mangolink
{

struct gateway_context;

/// When a caller should return after a short disturbance.
constexpr milliseconds retry_soon{300};

/// Time left under which sending a request makes no sense.
constexpr milliseconds min_time_left{40};

/// Time that a model engine needs for the first event of a usual request.
constexpr milliseconds expected_first_event_time{150};

/// Checks a request that has arrived against what the gateway believes, and
/// refuses at once what cannot be answered. Used by one thread.
class request_check final
{
public:
    request_check(gateway_context& context, const text_request& request,
                  boot_clock::time_point arrival);

    /// Returns why the request is refused; nothing when it is accepted.
    std::optional<refusal> run();

    /// Returns what is known of the request, also when it was refused.
    const accepted_request& result() const { return result_; }

private:
    std::optional<refusal> check_process() const;
    std::optional<refusal> check_route();
    std::optional<refusal> check_customer();
    std::optional<refusal> check_capacity();
    std::optional<refusal> check_stage_time();
    void choose_service();
    milliseconds time_left() const;

    gateway_context& context_;
    const text_request& request_;
    accepted_request result_;
};

} // namespace mangolink
