#pragma once

#include "base/clock.hpp"
#include "base/result_code.hpp"

#include <cstdint>

namespace mangolink
{

class backend_selector;
class pipeline_run;
class service_estimator;

/// Whether a run can still be answered in time.
struct time_verdict final
{
    result_code code = result_code::complete;
    microseconds retry_after{0};
};

/// Divides the time of a request over its stages. Used by the thread of the
/// executor only.
class deadline_planner final
{
public:
    deadline_planner(const service_estimator& estimator,
                     backend_selector& selector);

    /// Returns the expected service time of a stage of the run.
    microseconds expected_work(const pipeline_run& run,
                               std::uint32_t stage) const;

    /// Returns the time the current stage may take: what is left until the
    /// deadline less what later stages are expected to need.
    microseconds stage_budget(const pipeline_run& run,
                              boot_clock::time_point now) const;

    /// Compares the expected waits and service times of all stages to come
    /// with the time that is left.
    time_verdict check(const pipeline_run& run,
                       boot_clock::time_point now) const;

private:
    const service_estimator& estimator_;
    backend_selector& selector_;
};

} // namespace mangolink
