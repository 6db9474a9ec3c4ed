#pragma once

#include "base/clock.hpp"
#include "process/backend_directory.hpp"
#include "process/region_table.hpp"
#include "process/server_holds.hpp"
#include "process/zone_evacuations.hpp"
#include "request/direct_balancer.hpp"
#include "request/prompt_quarantine.hpp"
#include "request/retry_schedule.hpp"
#include "request/server_rate_limiter.hpp"
#include "request/stage_time_estimator.hpp"
#include "request/windowed_retry_budget.hpp"
#include "version/configuration_freshness.hpp"
#include "version/gateway_configuration.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

struct gateway_settings;

/// A time in which no server of a service takes a request of this process.
struct service_pause final
{
    bool held = false; ///< by all servers; otherwise rate limits take part
    milliseconds retry_delay{0}; ///< after which a caller may find a place
};

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

    /// Returns whether a server may get a request of this process now, by its
    /// hold and its rate limit.
    bool is_usable(const backend_server& server, boot_clock::time_point now)
    {
        return time_until_usable(server, now) == milliseconds(0);
    }

    /// Returns the time until then; nothing if other processes use the limit.
    std::optional<milliseconds> time_until_usable(const backend_server& server,
                                                  boot_clock::time_point now);

    /// Returns the pause of a service in the regions, or nothing if a server is
    /// usable. Each call spreads the delay further, so it must be made once for
    /// each caller that is refused.
    std::optional<service_pause> pause_of(const std::string& service,
                                          region_set regions,
                                          boot_clock::time_point now);

    /// Reserves the send of a request that must pass stages before, if all
    /// servers of its service have rate limits. Returns nothing if they would
    /// not allow it after `delay`. The reservation is released with its last
    /// copy.
    std::optional<std::shared_ptr<const void>>
    reserve_send(const std::string& service, region_set regions,
                 milliseconds delay, boot_clock::time_point now);

    /// Returns a delay for a caller that is refused because of rate limits.
    milliseconds limit_retry_delay(const std::string& service,
                                   region_set regions, milliseconds first,
                                   boot_clock::time_point now);

    /// Returns the regions that a request may be served in: those that its
    /// route and its customer both allow, by the configuration under which it
    /// was accepted and by the current one. `customer` may be null.
    region_set allowed_regions(const gateway_configuration& accepted_under,
                               const gateway_route& route,
                               const gateway_customer* customer) const;

    const region_table& regions() const { return regions_; }

    /// Returns whether the stage servers of a group share their waiting items.
    bool shares_stage_backlogs() const { return shares_stage_backlogs_; }

    configuration_freshness& freshness() { return freshness_; }
    const configuration_freshness& freshness() const { return freshness_; }
    backend_directory& directory() { return directory_; }
    const backend_directory& directory() const { return directory_; }
    zone_evacuations& evacuations() { return evacuations_; }
    const zone_evacuations& evacuations() const { return evacuations_; }
    server_holds& holds() { return holds_; }
    server_rate_limiter& limits() { return limits_; }
    const server_rate_limiter& limits() const { return limits_; }
    direct_balancer& balancer() { return balancer_; }
    stage_time_estimator& stage_times() { return stage_times_; }
    prompt_quarantine& quarantine() { return quarantine_; }

private:
    region_set
    allowed_by(const std::optional<std::vector<std::string>>& names) const;

    windowed_retry_budget_settings retry_budget_settings_;
    region_table regions_;
    bool shares_stage_backlogs_;
    double slack_share_;
    configuration_pointer configuration_;
    configuration_freshness freshness_;
    backend_directory directory_;
    zone_evacuations evacuations_;
    server_holds holds_;
    server_rate_limiter limits_;
    absl::flat_hash_map<std::string, retry_schedule>
        retry_schedules_; ///< by service
    absl::flat_hash_map<std::string, std::shared_ptr<const int>> reservations_;
    direct_balancer balancer_;
    stage_time_estimator stage_times_;
    prompt_quarantine quarantine_;
    absl::flat_hash_map<std::string, windowed_retry_budget> retry_budgets_;
    bool servers_listed_ = false;
};

} // namespace mangolink
