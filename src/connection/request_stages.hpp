#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/forward_protocol.hpp"
#include "request/stage_plan.hpp"
#include "request/stage_task.hpp"
#include "version/gateway_route.hpp"

#include <memory>
#include <string>
#include <vector>

namespace mangolink
{

class stage_dispatcher;

/// What the stages of a request are made for.
struct stages_parameters final
{
    std::string request_id;
    std::string item_key;
    boot_clock::time_point due;      ///< by which the request should be sent
    boot_clock::time_point deadline; ///< after which it is of no use
    std::string preferred_zone;      ///< of its server; empty: none
    milliseconds preference{0};      ///< how long may be waited for that zone
};

/// The stages of one request: has their pieces made, and gives up results
/// that are no longer needed. Used by one thread.
class request_stages final : public stage_client,
                             public std::enable_shared_from_this<request_stages>
{
public:
    request_stages(asio::io_context& io, stage_dispatcher& dispatcher,
                   const gateway_route& route,
                   const std::vector<std::uint32_t>& item_counts,
                   stages_parameters parameters);

    /// Has every piece made that is missing; returns whether all are there.
    asio::awaitable<bool> execute();

    /// Ends make(): nobody waits for the request any more, or its time is
    /// over.
    void stop();

    /// Gives up every result. make() makes all pieces anew.
    void restart();

    /// Gives up every result; nothing more is made.
    void finish();

    /// Returns the results for the request's server.
    std::vector<stage_result> results() const { return plan_.final_results(); }

    /// Returns why make() failed.
    const std::string& failure() const { return failure_; }

    /// Returns the time spent in make().
    milliseconds time() const { return time_; }

    bool wants_items() const override { return !stopped_; }
    void item_ended(stage_item index, stage_item_answer answer) override;

private:
    void submit_ready();
    std::shared_ptr<stage_task> create_task(std::uint32_t stage);
    void handle_failure(stage_item index, stage_item_outcome end);

    stage_dispatcher& dispatcher_;
    stages_parameters parameters_;
    stage_plan plan_;
    asio::steady_timer wake_;
    std::string failure_;
    std::uint32_t repeats_ = 0;  ///< pieces that were made again
    std::uint32_t reroutes_ = 0; ///< pieces that went to another server
    milliseconds time_{0};
    bool stopped_ = false;
};

} // namespace mangolink
