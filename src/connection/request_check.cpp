#include "connection/request_check.hpp"

#include "base/hash.hpp"
#include "connection/gateway_context.hpp"
#include "connection/http_headers.hpp"
#include "connection/prompt_guard.hpp"
#include "connection/region_refusals.hpp"
#include "connection/server_limit_guard.hpp"
#include "connection/stage_dispatcher.hpp"
#include "process/memory_budget.hpp"
#include "request/stage_plan.hpp"
#include "roles/gateway_settings.hpp"
#include "roles/gateway_state.hpp"

#include <algorithm>
#include <stdexcept>

namespace mangolink
{
namespace
{

/// Retry-After while the configuration is missing or unconfirmed, and the upper
/// limit of Retry-After when the stages would take too long.
constexpr milliseconds retry_later{1000};
constexpr milliseconds max_retry_delay{3000};

/// A request whose stages are expected to take longer than this multiple of the
/// route's latency objective is refused, since its work would only delay
/// others. Expected times are means, so some requests above the objective still
/// meet it; requests of priority 0 are given that chance.
constexpr double max_relative_stage_time = 1.0;
constexpr double max_relative_stage_time_urgent = 1.3;

} // namespace

std::uint64_t request_check::held_bytes(const text_request& request)
{
    constexpr std::uint64_t copies = 2; // one more while it is sent
    return copies * request.body().size();
}

request_check::request_check(gateway_context& context,
                             const text_request& request,
                             boot_clock::time_point arrival)
    : context_(context), request_(request)
{
    result_.arrival = arrival;
    result_.deadline = arrival;
}

std::optional<refusal> request_check::run()
{
    try
    {
        result_.metadata = context_.protocol.read_request(request_);
    }
    catch (const std::invalid_argument& error)
    {
        return refusal{http::status::bad_request, error.what(), {}};
    }
    if (auto refused = check_process())
    {
        return refused;
    }
    if (auto refused = check_route())
    {
        return refused;
    }
    if (auto refused = check_customer())
    {
        return refused;
    }
    if (auto refused = check_prompt())
    {
        return refused;
    }
    result_.deadline =
        result_.arrival +
        std::min(result_.metadata.time_left.value_or(result_.route->time_limit),
                 result_.route->time_limit);
    choose_service();
    context_.state.limits().demand().count(result_.service);
    context_.state.retry_budget_of(result_.service)
        .count_request(result_.arrival);
    return check_capacity();
}

std::optional<refusal> request_check::check_process() const
{
    if (context_.rejecting_requests)
    {
        return refusal{http::status::service_unavailable, "stopping",
                       retry_soon};
    }
    if (!context_.memory.can_pin(held_bytes(request_)))
    {
        return refusal{http::status::service_unavailable, "memory", retry_soon};
    }
    return std::nullopt;
}

std::optional<refusal> request_check::check_route()
{
    result_.configuration = context_.state.configuration();
    if (!result_.configuration)
    {
        return refusal{http::status::service_unavailable, "no configuration",
                       retry_later};
    }
    const std::string_view target(request_.target().data(),
                                  request_.target().size());
    result_.route =
        result_.configuration->find_route(host_without_port(request_), target);
    const bool needs_confirmation =
        result_.route == nullptr || !result_.route->anonymous;
    if (needs_confirmation &&
        !context_.state.freshness().keys_trusted(result_.arrival))
    {
        return refusal{http::status::service_unavailable,
                       "configuration not confirmed", retry_later};
    }
    if (result_.route == nullptr)
    {
        return refusal{http::status::not_found, "no route", {}};
    }
    return std::nullopt;
}

std::optional<refusal> request_check::check_customer()
{
    if (result_.route->anonymous || !result_.configuration->requires_api_keys())
    {
        return std::nullopt;
    }
    result_.customer =
        result_.configuration->find_customer(result_.metadata.api_key);
    if (result_.customer == nullptr)
    {
        return refusal{http::status::unauthorized, "unknown key", {}};
    }
    return std::nullopt;
}

std::optional<refusal> request_check::check_capacity()
{
    if (time_left() < min_time_left)
    {
        return refusal{http::status::service_unavailable, "no time left",
                       retry_soon};
    }
    const auto regions = context_.regions_of(result_);
    if (auto refused = check_regions(regions))
    {
        return refused;
    }
    const auto& servers =
        context_.state.directory().servers(result_.service, regions);
    if (servers.empty())
    {
        return refusal{http::status::service_unavailable, "no server",
                       retry_soon};
    }
    if (auto refused = check_pause(regions))
    {
        return refused;
    }
    if (auto refused = check_stage_time(regions))
    {
        return refused;
    }
    return reserve_send(regions);
}

std::optional<refusal> request_check::check_regions(region_set regions) const
{
    if (regions.is_all())
    {
        return std::nullopt;
    }
    if (regions.empty())
    {
        return context_.refusals_by_region.no_region();
    }
    const auto& directory = context_.state.directory();
    bool complete = !directory.servers(result_.service, regions).empty();
    const auto& stages = result_.route->stages;
    const stage_plan plan(stages, result_.metadata.item_counts);
    for (std::uint32_t i = 0; i < stages.size() && complete; ++i)
    {
        complete = plan.item_count(i) == 0 ||
                   !directory.servers(stages[i].service, regions).empty();
    }
    return complete ? std::nullopt
                    : std::optional(context_.refusals_by_region.no_server());
}

std::optional<refusal> request_check::check_pause(region_set regions) const
{
    // A request with stages needs a server later: reserve_send().
    const bool has_stages = !result_.route->stages.empty();
    const auto now = boot_clock::now();
    const auto& servers =
        context_.state.directory().servers(result_.service, regions);
    if (has_stages && !context_.state.holds().remaining_of_all(servers, now))
    {
        return std::nullopt;
    }
    const auto pause = context_.state.pause_of(result_.service, regions, now);
    if (!pause)
    {
        return std::nullopt;
    }
    return pause->held
               ? refusal{http::status::service_unavailable, "servers held",
                         std::max(pause->retry_delay, retry_soon)}
               : context_.server_limits.refuse(pause->retry_delay);
}

std::optional<refusal> request_check::reserve_send(region_set regions)
{
    if (result_.route->stages.empty())
    {
        return std::nullopt;
    }
    const auto now = boot_clock::now();
    auto reservation = context_.state.reserve_send(
        result_.service, regions, result_.expected_stages_time, now);
    if (!reservation)
    {
        return context_.server_limits.refuse(context_.state.limit_retry_delay(
            result_.service, regions, milliseconds(0), now));
    }
    result_.reservation = std::move(*reservation);
    return std::nullopt;
}

std::optional<refusal> request_check::check_prompt() const
{
    return context_.prompts.check(result_.metadata.prompt);
}

std::optional<refusal> request_check::check_stage_time(region_set regions)
{
    const auto& stages = result_.route->stages;
    const stage_plan plan(stages, result_.metadata.item_counts);
    result_.uncorrected_stages_time = plan.expected_time(
        [&](std::uint32_t stage)
        {
            stage_demand demand;
            demand.item_count = plan.item_count(stage);
            demand.result_bytes = stages[stage].result_bytes;
            demand.regions = regions;
            return context_.stages.expected_time(stages[stage].service, demand);
        });
    const auto expected = context_.state.stage_times().corrected(
        result_.route->name, result_.uncorrected_stages_time);
    result_.expected_stages_time = expected;
    const double lateness = result_.route->priority == 0
                                ? max_relative_stage_time_urgent
                                : max_relative_stage_time;
    const auto useful =
        std::min(time_left(), std::chrono::duration_cast<milliseconds>(
                                  result_.route->latency_objective * lateness));
    if (stages.empty() || expected + expected_first_event_time <= useful)
    {
        return std::nullopt;
    }
    return refusal{
        http::status::service_unavailable,
        "stages would take " + std::to_string(expected.count()) + " ms",
        std::clamp(expected - time_left() / 2, retry_soon, max_retry_delay)};
}

void request_check::choose_service()
{
    std::uint64_t total = 0;
    for (const auto& target : result_.route->targets)
    {
        total += target.weight;
    }
    // The request id is random and differs between attempts of a caller.
    std::uint64_t draw =
        total == 0 ? 0 : stable_hash(result_.metadata.id) % total;
    for (const auto& target : result_.route->targets)
    {
        result_.service = target.service;
        if (draw < target.weight)
        {
            return;
        }
        draw -= target.weight;
    }
}

milliseconds request_check::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(result_.deadline -
                                                    boot_clock::now());
}

} // namespace mangolink
