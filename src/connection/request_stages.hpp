#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/forward_protocol.hpp"
#include "request/stage_plan.hpp"
#include "request/stage_task.hpp"
#include "version/gateway_route.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mangolink
{

class stage_dispatcher;

/// Parameters for executing the stages of a request.
struct stages_parameters final
{
    std::string request_id;
    std::string item_key;
    boot_clock::time_point due;      ///< target time for sending the request
    boot_clock::time_point deadline; ///< the request is useless afterwards
    std::string preferred_zone;      ///< zone of its server; empty: none
    milliseconds preference{0};      ///< extra wait accepted for that zone
    /// Returns the regions that the stages may run in now.
    std::function<region_set()> regions = region_set::all;
};

/// Executes the stages of one request and releases results that are no longer
/// needed. Used by one thread.
class request_stages final : public stage_client,
                             public std::enable_shared_from_this<request_stages>
{
public:
    request_stages(asio::io_context& io, stage_dispatcher& dispatcher,
                   const gateway_route& route,
                   const std::vector<std::uint32_t>& item_counts,
                   stages_parameters parameters);

    /// Executes all missing items. Returns whether all results are available.
    asio::awaitable<bool> execute();

    /// Ends execute() because the caller is gone or the time is over.
    void stop();

    /// Releases all results; execute() runs every item again.
    void restart();

    /// Returns whether the results of all items are available. Without them the
    /// request must not be sent to a server.
    bool has_results() const { return plan_.complete() && !results_lost_; }

    /// Records that a server found a result missing.
    void mark_results_lost() { results_lost_ = true; }

    /// Releases all results and stops.
    void finish();

    /// Returns the results that the request's server needs.
    std::vector<stage_result> results() const { return plan_.final_results(); }

    /// Returns why execute() failed.
    const std::string& failure() const { return failure_; }

    /// Returns the total time spent in execute().
    milliseconds time() const { return time_; }

    bool wants_items() const override { return !stopped_; }
    void item_ended(stage_item item, stage_item_answer answer) override;

private:
    void submit_ready();
    std::shared_ptr<stage_task> create_task(std::uint32_t stage);
    void handle_failure(stage_item item, stage_item_outcome end);

    stage_dispatcher& dispatcher_;
    stages_parameters parameters_;
    stage_plan plan_;
    asio::steady_timer wake_;
    std::string failure_;
    std::uint32_t repeats_ = 0;  ///< items executed again
    std::uint32_t reroutes_ = 0; ///< unsent items moved to another server
    milliseconds time_{0};
    bool stopped_ = false;
    bool results_lost_ = false;
};

} // namespace mangolink
