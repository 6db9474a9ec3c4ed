#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <string>

namespace mangolink
{

/// Corrects expectations of stage times by what requests of the same route
/// met lately.
///
/// What is told of stage servers shows the pieces that wait now. Pieces that
/// come later share the calls and make them longer, in bursts by two to three
/// times; refusing by the plain expectation then takes requests on that end
/// late. Used by one thread.
class stage_time_estimator final
{
public:
    /// Returns the time to expect when the servers' outlooks say `plain`.
    milliseconds corrected(const std::string& route,
                           milliseconds reported) const;

    /// Takes how long the stages of a request took, or have taken when they
    /// were given up.
    void add_sample(const std::string& route, milliseconds reported,
                    milliseconds actual);

private:
    absl::flat_hash_map<std::string, double> factors_; ///< by route
};

} // namespace mangolink
