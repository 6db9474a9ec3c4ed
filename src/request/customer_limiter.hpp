#pragma once

#include "base/clock.hpp"
#include "request/token_bucket.hpp"

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
    absl::flat_hash_map<std::string, token_bucket> buckets_;
};

} // namespace mangolink
