#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <string>

namespace mangolink
{

struct customer;

/// Token bucket rate limiter per customer. Used only on the thread of the
/// executor.
class customer_limiter final
{
public:
    /// Takes one token for a request. Returns zero if the request is allowed,
    /// otherwise the time until the next token is available.
    microseconds try_acquire(const customer& customer_entry,
                             boot_clock::time_point now);

private:
    struct bucket final
    {
        double tokens = 0;
        boot_clock::time_point filled;
        bool started = false; ///< false until the first request
    };

    absl::flat_hash_map<std::string, bucket> buckets_;
};

} // namespace mangolink
