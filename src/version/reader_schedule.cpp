#include "version/reader_schedule.hpp"

#include "base/hash.hpp"

#include <absl/random/distributions.h>

#include <algorithm>
#include <cmath>

namespace mangolink
{

reader_schedule::reader_schedule(reader_schedule_settings settings,
                                 absl::BitGenRef random)
    : settings_(std::move(settings)), random_(random),
      backoff_(settings_.min_retry_delay)
{
}

void reader_schedule::update_instances(
    const std::vector<instance_entry>& instances)
{
    if (instances.empty())
    {
        return;
    }
    instance_count_ = instances.size();
    const std::uint64_t own = stable_hash(settings_.instance);
    std::uint32_t higher_ranked = 0;
    for (const auto& entry : instances)
    {
        const bool competes = entry.zone == settings_.zone && !entry.leaving &&
                              entry.name != settings_.instance;
        if (competes && stable_hash(entry.name) > own)
        {
            ++higher_ranked;
        }
    }
    elected_ = higher_ranked < settings_.readers_per_zone;
}

void reader_schedule::begin(boot_clock::time_point now)
{
    const auto spread = settings_.first_read_spread.count();
    next_ = now + milliseconds(absl::Uniform<std::int64_t>(absl::IntervalClosed,
                                                           random_, 0, spread));
}

void reader_schedule::record_read(read_outcome outcome,
                                  boot_clock::time_point now)
{
    if (outcome == read_outcome::failed ||
        (elected_ && outcome == read_outcome::stale))
    {
        next_ = now + jittered(backoff_);
        backoff_ = std::min(backoff_ * 2, settings_.max_retry_delay);
        return;
    }
    backoff_ = settings_.min_retry_delay;
    if (elected_)
    {
        next_ = now;
        return;
    }
    const double interval_ms = 1000.0 * static_cast<double>(instance_count_) /
                               settings_.background_rate;
    next_ = now + jittered(milliseconds(
                      std::max<std::int64_t>(1000, std::llround(interval_ms))));
}

milliseconds reader_schedule::jittered(milliseconds mean)
{
    const double factor = absl::Uniform(random_, 0.5, 1.5);
    return std::chrono::duration_cast<milliseconds>(mean * factor);
}

} // namespace mangolink
