#include "roles/gateway_state.hpp"

#include "roles/gateway_settings.hpp"

#include <algorithm>
#include <cmath>

namespace mangolink
{
namespace
{

/// Covers a store watch that misses changes for about a second, and the
/// latency of a confirmation.
constexpr milliseconds freshness_margin{1700};

/// Entries that expired while the store was unavailable are published again
/// within two seconds of its return.
constexpr milliseconds suspicion_timeout{2000};

/// Fraction of the shared retry bound that is used. The margin keeps all
/// processes together below the bound, as their windows are not aligned.
constexpr double retry_bound_fraction = 0.8;

/// Number of processes assumed to share the slack until peers are known.
constexpr std::size_t assumed_processes = 8;

/// Shortest Retry-After while servers limit their requests.
constexpr milliseconds min_retry_delay{200};

placement place_of(const gateway_settings& settings)
{
    return {settings.name, settings.zone, settings.own_region_zones()};
}

} // namespace

gateway_state::gateway_state(const gateway_settings& settings)
    : retry_budget_settings_{settings.retry_ratio * retry_bound_fraction,
                             settings.retry_slack * retry_bound_fraction,
                             settings.retry_window},
      regions_(settings.region_of_zone),
      shares_stage_backlogs_(settings.shares_stage_backlogs),
      slack_share_(1.0 / assumed_processes),
      freshness_(settings.revocation_limit, freshness_margin),
      directory_(suspicion_timeout, place_of(settings), regions_),
      limits_(settings.name), balancer_(place_of(settings)),
      quarantine_(settings.quarantine)
{
}

bool gateway_state::install(configuration_pointer next)
{
    if (configuration_ && next->version() <= configuration_->version())
    {
        return false;
    }
    configuration_ = std::move(next);
    server_rate_limiter::cold_rates rates;
    for (const auto& service : configuration_->services())
    {
        if (service.cold_per_second > 0)
        {
            rates.emplace(service.name, service.cold_per_second);
        }
    }
    limits_.set_cold_rates(std::move(rates));
    return true;
}

const stage_pool_parameters*
gateway_state::find_stage_pool(const std::string& service) const
{
    const auto* found =
        configuration_ ? configuration_->find_service(service) : nullptr;
    return found != nullptr && found->pool ? &*found->pool : nullptr;
}

bool gateway_state::ready(boot_clock::time_point now) const
{
    return configuration_ && servers_listed_ && freshness_.keys_trusted(now);
}

std::optional<milliseconds>
gateway_state::time_until_usable(const backend_server& server,
                                 boot_clock::time_point now)
{
    const auto permit =
        limits_.time_until_permit(server, sender_role::chosen, now);
    return permit
               ? std::optional(std::max(*permit, holds_.remaining(server, now)))
               : std::nullopt;
}

std::optional<service_pause> gateway_state::pause_of(const std::string& service,
                                                     region_set regions,
                                                     boot_clock::time_point now)
{
    const auto& servers = directory_.servers(service, regions);
    std::optional<milliseconds> first;
    for (const auto& server : servers)
    {
        const auto time = time_until_usable(*server, now);
        if (time == milliseconds(0))
        {
            return std::nullopt;
        }
        first = first && time ? std::min(*first, *time) : time ? time : first;
    }
    if (servers.empty())
    {
        return std::nullopt;
    }
    if (const auto hold = holds_.remaining_of_all(servers, now))
    {
        return service_pause{true, *hold};
    }
    return service_pause{
        false, limit_retry_delay(service, regions,
                                 first.value_or(min_retry_delay), now)};
}

milliseconds gateway_state::limit_retry_delay(const std::string& service,
                                              region_set regions,
                                              milliseconds first,
                                              boot_clock::time_point now)
{
    // Callers come back to any process, which refuse at about the same rate.
    double per_second = 0;
    for (const auto& server : directory_.servers(service, regions))
    {
        per_second += limits_.limit_of(*server).value_or(0);
    }
    per_second /= static_cast<double>(limits_.shares().processes());
    return retry_schedules_[service].next_delay(
        std::max(first, min_retry_delay), per_second, now);
}

std::optional<std::shared_ptr<const void>>
gateway_state::reserve_send(const std::string& service, region_set regions,
                            milliseconds delay, boot_clock::time_point now)
{
    double permits = 0;
    for (const auto& server : directory_.servers(service, regions))
    {
        if (holds_.is_held(*server, now))
        {
            continue;
        }
        if (!limits_.limit_of(*server))
        {
            return nullptr; // no reservation is needed
        }
        permits += limits_.expected_permits(*server, delay, now);
    }
    auto& reservation = reservations_[service];
    reservation = reservation ? reservation : std::make_shared<const int>(0);
    const auto reserved = static_cast<double>(reservation.use_count() - 1);
    if (reserved + 1 > permits)
    {
        return std::nullopt;
    }
    return reservation;
}

region_set
gateway_state::allowed_regions(const gateway_configuration& accepted_under,
                               const gateway_route& route,
                               const gateway_customer* customer) const
{
    region_set result = allowed_by(route.allowed_regions);
    if (customer != nullptr)
    {
        result = result & allowed_by(customer->allowed_regions);
    }
    if (configuration_.get() == &accepted_under || !configuration_)
    {
        return result;
    }
    const auto* current = configuration_->find_route(route.host, route.prefix);
    if (current != nullptr && current->prefix == route.prefix)
    {
        result = result & allowed_by(current->allowed_regions);
    }
    const auto* current_customer =
        customer == nullptr
            ? nullptr
            : configuration_->find_customer_named(customer->name);
    return current_customer == nullptr
               ? result
               : result & allowed_by(current_customer->allowed_regions);
}

region_set gateway_state::allowed_by(
    const std::optional<std::vector<std::string>>& names) const
{
    return names ? regions_.set_of(*names) : region_set::all();
}

windowed_retry_budget&
gateway_state::retry_budget_of(const std::string& service)
{
    const auto found = retry_budgets_.find(service);
    if (found != retry_budgets_.end())
    {
        return found->second;
    }
    auto& created =
        retry_budgets_
            .emplace(service, windowed_retry_budget(retry_budget_settings_))
            .first->second;
    created.set_slack_share(slack_share_);
    return created;
}

void gateway_state::set_process_count(std::size_t processes)
{
    slack_share_ = 1.0 / static_cast<double>(processes);
    for (auto& [service, budget] : retry_budgets_)
    {
        budget.set_slack_share(slack_share_);
    }
}

} // namespace mangolink
