#pragma once

#include "base/clock.hpp"
#include "request/attempt_key.hpp"

#include <absl/container/flat_hash_set.h>

#include <deque>

namespace mangolink
{

/// Remembers every attempt an agent has decided on, so that a late copy is
/// never run. Used by the thread of the agent's core only.
class attempt_registry final
{
public:
    /// Keeps decisions for `retention`, which is longer than any message can
    /// be held up between two processes.
    explicit attempt_registry(microseconds retention);

    /// Registers an attempt; false when it was registered before.
    bool add(const attempt_key& key, boot_clock::time_point now);

    /// Drops what is older than the retention.
    void expire(boot_clock::time_point now);

    std::size_t size() const { return order_.size(); }

private:
    struct dated_key final
    {
        boot_clock::time_point added;
        attempt_key key;
    };

    microseconds retention_;
    absl::flat_hash_set<attempt_key> known_;
    std::deque<dated_key> order_;
};

} // namespace mangolink
