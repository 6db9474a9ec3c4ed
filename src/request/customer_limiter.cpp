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
    bucket& customer_bucket = buckets_[customer_entry.name];
    if (!customer_bucket.started)
    {
        customer_bucket = {size, now, true};
    }
    const std::chrono::duration<double> elapsed = now - customer_bucket.filled;
    customer_bucket.tokens =
        std::min(size, customer_bucket.tokens + elapsed.count() * rate);
    customer_bucket.filled = now;
    if (customer_bucket.tokens >= 1)
    {
        customer_bucket.tokens -= 1;
        return microseconds(0);
    }
    const std::chrono::duration<double> wait((1 - customer_bucket.tokens) /
                                             rate);
    return std::chrono::duration_cast<microseconds>(wait) + microseconds(1);
}

} // namespace mangolink
