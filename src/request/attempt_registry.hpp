#pragma once

#include "base/clock.hpp"
#include "request/attempt_key.hpp"

#include <absl/container/flat_hash_set.h>

#include <deque>

namespace mangolink
{

/// Deduplicates attempts at an agent: a late copy of a known attempt must not
/// run. Used only on the thread of the agent's core.
class attempt_registry final
{
public:
    /// @param retention  How long attempts are kept. Must exceed the longest
    ///     delay of a message between two processes.
    explicit attempt_registry(microseconds retention);

    /// Registers an attempt. Returns false if it is registered already.
    bool add(const attempt_key& key, boot_clock::time_point now);

    /// Removes attempts older than the retention time.
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
