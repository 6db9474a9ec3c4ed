#pragma once

#include "base/clock.hpp"
#include "connection/accepted_request.hpp"
#include "process/region_set.hpp"

#include <optional>

namespace mangolink
{

struct gateway_context;

/// Retry-After if the cause of a refusal is expected to be short.
constexpr milliseconds retry_soon{300};

/// A request is not sent with less time left than this.
constexpr milliseconds min_time_left{40};

/// Typical time of a model engine to the first event of a request.
constexpr milliseconds expected_first_event_time{150};

/// Admission check of an arrived request against the gateway's state. Requests
/// that cannot be answered are refused immediately. Used by one thread.
class request_check final
{
public:
    request_check(gateway_context& context, const text_request& request,
                  boot_clock::time_point arrival);

    /// Returns the bytes of a request's body that are held while it is served.
    static std::uint64_t held_bytes(const text_request& request);

    /// Returns the refusal, or nothing if the request is accepted.
    std::optional<refusal> run();

    /// Returns the data of the request; incomplete if it was refused.
    const accepted_request& result() const { return result_; }

private:
    std::optional<refusal> check_process() const;
    std::optional<refusal> check_route();
    std::optional<refusal> check_customer();
    std::optional<refusal> check_prompt() const;
    std::optional<refusal> check_capacity();
    std::optional<refusal> check_regions(region_set regions) const;
    std::optional<refusal> check_pause(region_set regions) const;
    std::optional<refusal> reserve_send(region_set regions);
    std::optional<refusal> check_stage_time(region_set regions);
    void choose_service();
    milliseconds time_left() const;

    gateway_context& context_;
    const text_request& request_;
    accepted_request result_;
};

} // namespace mangolink
