#include "roles/gateway_state.hpp"

#include "roles/gateway_settings.hpp"

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

placement place_of(const gateway_settings& settings)
{
    return {settings.name, settings.zone, settings.own_region_zones()};
}

} // namespace

gateway_state::gateway_state(const gateway_settings& settings)
    : retry_budget_settings_{settings.retry_ratio * retry_bound_fraction,
                             settings.retry_slack * retry_bound_fraction,
                             settings.retry_window},
      slack_share_(1.0 / assumed_processes),
      freshness_(settings.revocation_limit, freshness_margin),
      directory_(suspicion_timeout, place_of(settings)),
      balancer_(place_of(settings)), quarantine_(settings.quarantine)
{
}

bool gateway_state::install(configuration_pointer next)
{
    if (configuration_ && next->version() <= configuration_->version())
    {
        return false;
    }
    configuration_ = std::move(next);
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
