#pragma once

#include "base/clock.hpp"

#include <optional>

namespace mangolink
{

/// Knows how old the confirmation is that the configuration in force is the
/// newest one, and whether API keys may still be trusted.
///
/// A key that was taken away must stop working `revocation_limit` later even
/// at a process that is cut off. A request that arrives at time t is safe when
/// the configuration was confirmed after t - revocation_limit. Time counts
/// suspension. Used by one thread.
class configuration_freshness final
{
public:
    /// `margin` covers the time that a source may serve old answers.
    configuration_freshness(milliseconds revocation_limit, milliseconds margin);

    /// Takes a confirmation that nothing newer existed at `as_of`.
    void confirm(boot_clock::time_point as_of);

    /// Returns whether keys may be trusted for a request that arrived then.
    bool keys_trusted(boot_clock::time_point arrival) const;

    /// Returns the age of the last confirmation; nothing before the first.
    std::optional<milliseconds> age(boot_clock::time_point now) const;

private:
    milliseconds limit_;
    std::optional<boot_clock::time_point> confirmed_;
};

} // namespace mangolink
