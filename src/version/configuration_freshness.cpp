#include "version/configuration_freshness.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Latency of two confirmations.
constexpr milliseconds refresh_slack{300};
constexpr milliseconds min_refresh_interval{100};

} // namespace

configuration_freshness::configuration_freshness(milliseconds revocation_limit,
                                                 milliseconds margin)
    : limit_(revocation_limit - margin)
{
}

void configuration_freshness::confirm(boot_clock::time_point as_of)
{
    confirmed_ = confirmed_ ? std::max(*confirmed_, as_of) : as_of;
}

bool configuration_freshness::keys_trusted(boot_clock::time_point arrival) const
{
    return confirmed_ && arrival - *confirmed_ < limit_;
}

milliseconds
configuration_freshness::refresh_interval(milliseconds longest) const
{
    return std::max(std::min(longest, (limit_ - refresh_slack) / 2),
                    min_refresh_interval);
}

std::optional<milliseconds>
configuration_freshness::age(boot_clock::time_point now) const
{
    if (!confirmed_)
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - *confirmed_);
}

} // namespace mangolink
