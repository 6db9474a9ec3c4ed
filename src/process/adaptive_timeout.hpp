#pragma once

#include "base/clock.hpp"

namespace mangolink
{

/// Time limits for the calls to one server, which follow the time that its
/// answers take.
///
/// On a congested link a round trip may take longer than a fixed limit, and
/// then no attempt would succeed, however often it is repeated. Not
/// thread-safe.
class adaptive_timeout final
{
public:
    /// Returns the limit of a step that is limited to `usual` while answers are
    /// quick.
    milliseconds limit(milliseconds usual) const { return usual * factor_; }

    /// Records that a step reached its limit. The limits grow; after the
    /// longest ones they are short again, so that the end of an outage is
    /// noticed soon.
    void record_timeout();

    /// Records a step that took this long.
    void record_success(milliseconds usual, milliseconds took);

private:
    int factor_ = 1;
};

} // namespace mangolink
