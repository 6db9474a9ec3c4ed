#include "request/customer_limiter.hpp"

#include "version/configuration.hpp"

#include <algorithm>

namespace mangolink
{

microseconds customer_limiter::try_acquire(const customer& customer_entry,
                                           boot_clock::time_point now)
{
    const double rate = customer_entry.requests_per_second;
    if (rate <= 0)
    {
        return microseconds(0);
    }
    const double size = std::max(customer_entry.burst, 1.0);
    token_bucket& bucket =
        buckets_.try_emplace(customer_entry.name, size, now).first->second;
    bucket.fill(rate, size, now);
    return bucket.try_take() ? microseconds(0) : bucket.time_until_token(rate);
}

} // namespace mangolink
