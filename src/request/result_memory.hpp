#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <string>

namespace mangolink
{

/// Tracks the memory that results occupy at a stage server, so that no item is
/// sent whose result would not fit. Not thread-safe.
class result_memory final
{
public:
    /// @param capacity  Bytes of memory for results.
    /// @param lifetime  Time after which the server drops a result by itself.
    result_memory(std::uint64_t capacity, milliseconds lifetime)
        : capacity_(capacity), lifetime_(lifetime)
    {
    }

    /// Applies the values of a new configuration.
    void configure(std::uint64_t capacity, milliseconds lifetime);

    /// Reserves memory for a result that a call is about to produce.
    void reserve(std::uint64_t bytes) { reserved_ += bytes; }

    void cancel_reservation(std::uint64_t bytes);

    /// Adds a result that the server now stores.
    void add_result(const std::string& handle, std::uint64_t bytes,
                    boot_clock::time_point now);

    /// Removes a result that was released.
    void release(const std::string& handle);

    /// Removes all results, since a restarted server stores none.
    void server_restarted();

    /// Records the free memory that the server reports. Memory in use beyond
    /// the results tracked here belongs to other processes, or to this one
    /// before a restart. It is free again after the lifetime of a result at the
    /// latest.
    void report_free(std::uint64_t bytes, boot_clock::time_point now);

    /// Returns the free bytes.
    std::uint64_t free(boot_clock::time_point now);

private:
    struct tracked_result final
    {
        std::string handle;
        boot_clock::time_point expires_at;
    };

    std::uint64_t untracked(boot_clock::time_point now) const;

    std::uint64_t capacity_;
    milliseconds lifetime_;
    std::uint64_t untracked_ = 0; ///< bytes at the time of the last report
    boot_clock::time_point reported_at_;
    std::uint64_t reserved_ = 0;
    std::uint64_t tracked_ = 0;
    absl::flat_hash_map<std::string, std::uint64_t> results_;
    std::deque<tracked_result> by_expiry_;
};

} // namespace mangolink
