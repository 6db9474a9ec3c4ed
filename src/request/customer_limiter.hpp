#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <string>

namespace mangolink
{

struct customer;

/// One token bucket per customer. Used by the thread of the executor only.
class customer_limiter final
{
public:
    /// Takes one request from the bucket; zero when it was allowed, else the
    /// time until the next request would be.
    microseconds try_acquire(const customer& customer_entry,
                             boot_clock::time_point now);

private:
    struct bucket final
    {
        double tokens = 0;
        boot_clock::time_point filled;
        bool started = false;
    };

    absl::flat_hash_map<std::string, bucket> buckets_;
};

} // namespace mangolink
