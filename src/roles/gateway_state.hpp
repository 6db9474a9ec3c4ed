#pragma once

#include "base/clock.hpp"
#include "process/backend_directory.hpp"
#include "process/server_holds.hpp"
#include "request/direct_balancer.hpp"
#include "request/prompt_quarantine.hpp"
#include "request/stage_time_estimator.hpp"
#include "request/windowed_retry_budget.hpp"
#include "version/configuration_freshness.hpp"
#include "version/gateway_configuration.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>

namespace mangolink
{

struct gateway_settings;

/// State that a gateway bases its decisions on: the current configuration and
/// its freshness, the backend servers, and the load balancing data about them.
/// Not thread-safe.
class gateway_state final
{
public:
    using configuration_pointer = std::shared_ptr<const gateway_configuration>;

    explicit gateway_state(const gateway_settings& settings);

    /// Makes a configuration the current one. Returns false if it is not newer.
    bool install(configuration_pointer next);

    /// Returns the current configuration, or null.
    const configuration_pointer& configuration() const
    {
        return configuration_;
    }

    /// Returns the version of the current configuration, or 0.
    std::uint64_t configuration_version() const
    {
        return configuration_ ? configuration_->version() : 0;
    }

    /// Returns the parameters of a stage pool, or null if the service is not
    /// one.
    const stage_pool_parameters*
    find_stage_pool(const std::string& service) const;

    /// Returns whether requests with API keys can be served: the configuration
    /// and the servers are known, and the configuration is fresh enough.
    bool ready(boot_clock::time_point now) const;

    /// Records that a complete server list was received.
    void mark_servers_listed() { servers_listed_ = true; }

    /// Returns the retry budget of a service.
    windowed_retry_budget& retry_budget_of(const std::string& service);

    /// Sets the number of processes that share the slack of the retry budgets.
    void set_process_count(std::size_t processes);

    configuration_freshness& freshness() { return freshness_; }
    const configuration_freshness& freshness() const { return freshness_; }
    backend_directory& directory() { return directory_; }
    const backend_directory& directory() const { return directory_; }
    server_holds& holds() { return holds_; }
    direct_balancer& balancer() { return balancer_; }
    stage_time_estimator& stage_times() { return stage_times_; }
    prompt_quarantine& quarantine() { return quarantine_; }

private:
    windowed_retry_budget_settings retry_budget_settings_;
    double slack_share_;
    configuration_pointer configuration_;
    configuration_freshness freshness_;
    backend_directory directory_;
    server_holds holds_;
    direct_balancer balancer_;
    stage_time_estimator stage_times_;
    prompt_quarantine quarantine_;
    absl::flat_hash_map<std::string, windowed_retry_budget> retry_budgets_;
    bool servers_listed_ = false;
};

} // namespace mangolink
