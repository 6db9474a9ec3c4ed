#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <string>

namespace mangolink
{

/// Corrects estimates of stage times by the times that recent requests of the
/// same route measured.
///
/// Load reports of stage servers cover only the items that are queued now.
/// Items that arrive later share the calls and prolong them, in bursts by a
/// factor of two to three. Admission by the uncorrected estimate would then
/// accept requests that finish late. Not thread-safe.
class stage_time_estimator final
{
public:
    /// Returns the corrected estimate, given the one from the load reports.
    milliseconds corrected(const std::string& route,
                           milliseconds reported) const;

    /// Adds the time that the stages of a request took, or the time until they
    /// were aborted.
    void add_sample(const std::string& route, milliseconds reported,
                    milliseconds actual);

private:
    absl::flat_hash_map<std::string, double> correction_factors_; ///< by route
};

} // namespace mangolink
