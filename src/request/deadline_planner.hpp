#pragma once

#include "base/clock.hpp"
#include "base/result_code.hpp"

#include <cstdint>

namespace mangolink
{

class backend_selector;
class pipeline_run;
class service_estimator;

/// Whether a run can meet its deadline; `complete` if it can.
struct time_verdict final
{
    result_code code = result_code::complete;
    microseconds retry_after{0};
};

/// Divides the time budget of a request among its stages. Used only on the
/// thread of the executor.
class deadline_planner final
{
public:
    deadline_planner(const service_estimator& estimator,
                     backend_selector& selector);

    /// Returns the expected service time of a stage of the run.
    microseconds expected_work(const pipeline_run& run,
                               std::uint32_t stage) const;

    /// Returns the time budget of the current stage: the time until the
    /// deadline less the expected service times of later stages.
    microseconds stage_budget(const pipeline_run& run,
                              boot_clock::time_point now) const;

    /// Compares the expected queue waits and service times of the remaining
    /// stages with the time until the deadline.
    time_verdict check(const pipeline_run& run,
                       boot_clock::time_point now) const;

private:
    const service_estimator& estimator_;
    backend_selector& selector_;
};

} // namespace mangolink
