#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <string>

namespace mangolink
{

/// Counts the room that results take at a stage server, so that no piece is
/// sent that would find none. Used by one thread.
class result_memory final
{
public:
    /// `room`: bytes for results; `lifetime`: after which the server drops a
    /// result by itself.
    result_memory(std::uint64_t capacity, milliseconds lifetime)
        : capacity_(capacity), lifetime_(lifetime)
    {
    }

    /// Sets the figures of a new configuration.
    void configure(std::uint64_t capacity, milliseconds lifetime);

    /// Reserves room for a piece that is about to be made.
    void reserve(std::uint64_t bytes) { reserved_ += bytes; }

    /// Gives a reservation back.
    void cancel_reservation(std::uint64_t bytes);

    /// Counts a result that the server keeps from now on.
    void add_result(const std::string& handle, std::uint64_t bytes,
                    boot_clock::time_point now);

    /// Counts that a result was given up.
    void release(const std::string& handle);

    /// Forgets every result: the server was started anew and holds none.
    void server_restarted();

    /// Takes what the server says is free. What it holds besides the results
    /// counted here is of others, or of this process before a restart; it is
    /// gone after a result's lifetime at the latest.
    void report_free(std::uint64_t bytes, boot_clock::time_point now);

    /// Returns the bytes that are free.
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
    std::uint64_t untracked_ = 0; ///< at the time of the last observation
    boot_clock::time_point reported_at_;
    std::uint64_t reserved_ = 0;
    std::uint64_t tracked_ = 0;
    absl::flat_hash_map<std::string, std::uint64_t> results_;
    std::deque<tracked_result> by_expiry_;
};

} // namespace mangolink
