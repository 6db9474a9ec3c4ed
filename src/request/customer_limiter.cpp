#include "request/customer_limiter.hpp"

#include "version/configuration.hpp"

#include <algorithm>

namespace mangolink
{

microseconds customer_limiter::take(const customer& who,
                                    boot_clock::time_point now)
{
    const double rate = who.requests_per_second;
    if (rate <= 0)
    {
        return microseconds(0);
    }
    const double size = std::max(who.burst, 1.0);
    bucket& row = buckets_[who.name];
    if (!row.started)
    {
        row = {size, now, true};
    }
    const std::chrono::duration<double> elapsed = now - row.filled;
    row.tokens = std::min(size, row.tokens + elapsed.count() * rate);
    row.filled = now;
    if (row.tokens >= 1)
    {
        row.tokens -= 1;
        return microseconds(0);
    }
    const std::chrono::duration<double> wait((1 - row.tokens) / rate);
    return std::chrono::duration_cast<microseconds>(wait) + microseconds(1);
}

} // namespace mangolink
