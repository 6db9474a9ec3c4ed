#pragma once

#include "base/clock.hpp"

#include <optional>

namespace mangolink
{

/// Tracks when the current configuration was last confirmed to be the newest
/// one, and whether its API keys may still be trusted.
///
/// A revoked key must stop working after `revocation_limit`, even at a process
/// that is disconnected from the store. A request that arrives at time t is
/// safe if the configuration was confirmed after t - revocation_limit. The
/// clock includes time in system suspend. Not thread-safe.
class configuration_freshness final
{
public:
    /// `margin` covers the time for which a source may return stale data.
    configuration_freshness(milliseconds revocation_limit, milliseconds margin);

    /// Records that no newer configuration existed at `as_of`.
    void confirm(boot_clock::time_point as_of);

    /// Returns whether keys may be trusted for a request with this arrival
    /// time.
    bool keys_trusted(boot_clock::time_point arrival) const;

    /// Returns the age of the last confirmation, or nothing before the first.
    std::optional<milliseconds> age(boot_clock::time_point now) const;

    /// Returns how often to confirm the configuration, `longest` at most: a
    /// process trusts keys across two intervals, as a change that is found at
    /// the end of one confirms only its beginning, and a follower adds its own.
    milliseconds refresh_interval(milliseconds longest) const;

private:
    milliseconds limit_;
    std::optional<boot_clock::time_point> confirmed_;
};

} // namespace mangolink
