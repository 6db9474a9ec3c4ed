#pragma once

#include "base/clock.hpp"
#include "version/instance_entry.hpp"

#include <absl/random/bit_gen_ref.h>

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink
{

/// Parameters of the reads of the configuration service.
struct reader_schedule_settings final
{
    std::string instance;
    std::string zone;
    std::uint32_t readers_per_zone = 3;
    double background_rate = 20; ///< total reads/s of all other instances
    milliseconds first_read_spread{500}; ///< window of the random first read
    milliseconds min_retry_delay{500};
    milliseconds max_retry_delay{15'000};
};

/// Outcome of a read of the configuration service.
enum class read_outcome : std::uint8_t
{
    failed,     ///< no response
    stale,      ///< immediate response with nothing newer: stale service
    timed_out,  ///< watch ended without a newer value
    newer_value ///< response with a newer value
};

/// Schedules the reads of the configuration service so that their number does
/// not grow with the number of instances.
///
/// A few readers per zone, chosen by rendezvous hashing over the instance list,
/// watch the service continuously. All other instances get updates from peers
/// and read at a rate whose sum over all of them is fixed. Not thread-safe.
class reader_schedule final
{
public:
    reader_schedule(reader_schedule_settings settings, absl::BitGenRef random);

    /// Applies the latest instance list.
    void update_instances(const std::vector<instance_entry>& instances);

    /// Returns whether this process is a reader of its zone. Also true while no
    /// instance list is known.
    bool elected() const { return elected_; }

    /// Returns the time of the next read.
    boot_clock::time_point next_read() const { return next_; }

    /// Schedules the first read at a random time.
    void begin(boot_clock::time_point now);

    /// Records the outcome of a read and schedules the next one.
    void record_read(read_outcome outcome, boot_clock::time_point now);

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
