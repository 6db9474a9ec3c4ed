#include "request/deadline_planner.hpp"

#include "request/backend_selector.hpp"
#include "request/pipeline_run.hpp"
#include "request/service_estimator.hpp"
#include "request/stage_codec.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Minimum retry delay for callers refused for lack of time.
constexpr milliseconds min_retry_after{100};

/// Retry delay while a pool has no usable backend server.
constexpr std::chrono::seconds empty_pool_retry_after{1};

} // namespace

deadline_planner::deadline_planner(const service_estimator& estimator,
                                   backend_selector& selector)
    : estimator_(estimator), selector_(selector)
{
}

microseconds deadline_planner::expected_work(const pipeline_run& run,
                                             std::uint32_t stage) const
{
    const pipeline_stage& current =
        run.request.selected_pipeline->stages[stage];
    const auto service = estimator_.estimate(current.estimate_key);
    const double units = codec_of(current.kind).work_units(run.request.context);
    return std::chrono::duration_cast<microseconds>(service.mean * units);
}

microseconds deadline_planner::stage_budget(const pipeline_run& run,
                                            boot_clock::time_point now) const
{
    auto budget =
        std::chrono::duration_cast<microseconds>(run.request.deadline - now);
    const auto stages = static_cast<std::uint32_t>(
        run.request.selected_pipeline->stages.size());
    for (std::uint32_t i = run.stage + 1; i < stages; ++i)
    {
        budget -= expected_work(run, i);
    }
    return budget;
}

time_verdict deadline_planner::check(const pipeline_run& run,
                                     boot_clock::time_point now) const
{
    const auto& stages = run.request.selected_pipeline->stages;
    microseconds expected{0};
    microseconds longest_wait{0};
    for (std::uint32_t i = run.stage; i < stages.size(); ++i)
    {
        const microseconds work = expected_work(run, i);
        const auto best = selector_.select(stages[i].pool, {}, work, now);
        if (!best && !run.request.key)
        {
            return {result_code::no_server, empty_pool_retry_after};
        }
        const microseconds wait = best ? best->wait : microseconds(0);
        longest_wait = std::max(longest_wait, wait);
        expected += wait + work;
    }
    if (now + expected > run.request.deadline)
    {
        return {result_code::deadline_unreachable,
                std::max<microseconds>(longest_wait, min_retry_after)};
    }
    return {};
}

} // namespace mangolink
