#pragma once

#include "base/clock.hpp"
#include "version/instance_entry.hpp"

#include <absl/random/bit_gen_ref.h>

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink
{

/// Who reads the configuration service, and how often.
struct reader_schedule_settings final
{
    std::string instance;
    std::string zone;
    std::uint32_t readers_per_zone = 3;
    double background_rate = 20; ///< reads per second of all others together
    milliseconds first_read_spread{500}; ///< over which first reads are spread
    milliseconds min_retry_delay{500};
    milliseconds max_retry_delay{15'000};
};

/// How a read of the configuration service ended.
enum class read_outcome : std::uint8_t
{
    failed,     ///< no answer
    stale,      ///< an answer at once that is not newer: the service is stale
    timed_out,  ///< a watch that ended without news
    newer_value ///< something newer
};

/// Decides when this process reads the configuration service, so that the
/// number of reads does not grow with the fleet.
///
/// A few readers per zone, chosen by rendezvous hash over the instance list,
/// watch all the time. All others are fed by peers and read on their own at a
/// rate whose sum over the fleet is fixed. Used by one thread.
class reader_schedule final
{
public:
    reader_schedule(reader_schedule_settings settings, absl::BitGenRef random);

    /// Takes the newest instance list.
    void update_instances(const std::vector<instance_entry>& instances);

    /// Returns whether this process is one of the zone's readers. Also true
    /// while no list is known.
    bool elected() const { return elected_; }

    /// Returns the time of the next read.
    boot_clock::time_point next_read() const { return next_; }

    /// Sets the time of the first read.
    void begin(boot_clock::time_point now);

    /// Records how a read ended and sets the time of the next.
    void record_read(read_outcome end, boot_clock::time_point now);

private:
    milliseconds jittered(milliseconds mean);

    reader_schedule_settings settings_;
    absl::BitGenRef random_;
    bool elected_ = true;
    std::size_t instance_count_ = 1;
    milliseconds backoff_;
    boot_clock::time_point next_;
};

} // namespace mangolink
