#include "connection/attempt_limits.hpp"

#include "version/gateway_route.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Share of the time left after which a server that has sent no byte counts as
/// silent, and the lower limits of that time.
constexpr double first_attempt_share = 0.45;
constexpr milliseconds min_first_byte_wait{300};
constexpr milliseconds min_stream_wait{1500};

/// The server of a stream counts as silent after a gap of this multiple of the
/// route's gap objective.
constexpr int max_gap_factor = 3;

} // namespace

attempt_limits silence_limits(const gateway_route& route,
                              milliseconds remaining, milliseconds longest)
{
    attempt_limits result{longest, longest, nullptr, nullptr};
    if (route.is_retryable())
    {
        const auto min_wait = route.kind == route_kind::streaming
                                  ? min_stream_wait
                                  : min_first_byte_wait;
        const auto share = std::chrono::duration_cast<milliseconds>(
            remaining * first_attempt_share);
        result.first_byte = std::max(min_wait, share);
    }
    if (route.resumable && route.gap_objective.count() > 0)
    {
        result.between_events =
            std::max(route.gap_objective * max_gap_factor, min_stream_wait);
    }
    return result;
}

} // namespace mangolink
