#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace mangolink::bench
{

/// Insertion or eviction of a prompt block, numbered per engine.
struct cache_event final
{
    std::uint64_t sequence = 0;
    std::uint64_t block = 0;
    bool stored = true; ///< false: evicted
};

/// Number of running and waiting sequences of an engine.
struct engine_load final
{
    std::size_t running = 0;
    std::size_t waiting = 0;
};

/// Load and cache events as an engine publishes them: both are delayed, and a
/// fraction of the events is lost.
class engine_reports final
{
public:
    /// `gaps` is the fraction of the cache events that is never published.
    engine_reports(milliseconds lag, double gaps, std::uint64_t seed);

    void add_load(engine_load load, boot_clock::time_point now);
    void add_event(std::uint64_t block, bool stored,
                   boot_clock::time_point now);

    /// Returns the load as it was one lag before `now`.
    engine_load load(boot_clock::time_point now);

    /// Returns the events after a sequence number that are at least as old as
    /// the lag.
    std::vector<cache_event> events_after(std::uint64_t sequence,
                                          boot_clock::time_point now) const;

private:
    struct timestamped_load final
    {
        boot_clock::time_point at;
        engine_load load;
    };
    struct timestamped_event final
    {
        boot_clock::time_point at;
        cache_event event;
    };

    milliseconds lag_;
    double gaps_;
    std::mt19937_64 random_;
    std::deque<timestamped_load> loads_;
    std::deque<timestamped_event> events_;
    std::uint64_t next_sequence_ = 1;
};

} // namespace mangolink::bench
