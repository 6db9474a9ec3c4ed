#include "version/configuration_freshness.hpp"

#include <algorithm>

namespace mangolink
{

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
