#pragma once

#include "base/clock.hpp"
#include "faultproxy/fault_rules.hpp"

#include <cstdint>
#include <deque>
#include <string>

namespace mangolink::bench
{

/// One direction of a proxied connection. Buffers received bytes until they are
/// due.
class proxy_flow final
{
public:
    proxy_flow(int from, int to) : from_(from), to_(to) {}

    /// Reads all available bytes; `hold` discards them. False when the sending
    /// side has failed.
    bool read(const fault_rule& rule, bool hold, milliseconds jitter,
              boot_clock::time_point now);

    /// Sends the bytes that are due. False when the receiving side has failed.
    bool write(boot_clock::time_point now);

    /// Returns when the next bytes are due, or the maximum if there are none.
    boot_clock::time_point next_time() const;

    /// Returns whether the sending side has closed and all bytes were sent.
    bool finished() const { return closed_ && waiting_.empty(); }

    /// Returns whether the sending side is open and the buffer has space.
    bool accepting() const
    {
        return !closed_ && waiting_bytes_ < max_waiting_bytes;
    }

    std::uint64_t forwarded_bytes() const { return forwarded_; }

private:
    static constexpr std::size_t max_waiting_bytes = 4 * 1024 * 1024;

    struct delayed_chunk final
    {
        boot_clock::time_point due;
        std::string bytes;
    };

    void add(std::string bytes, const fault_rule& rule, milliseconds jitter,
             boot_clock::time_point now);

    int from_;
    int to_;
    std::deque<delayed_chunk> waiting_;
    std::size_t waiting_bytes_ = 0;
    boot_clock::time_point last_due_;
    bool closed_ = false;
    std::uint64_t forwarded_ = 0;
};

} // namespace mangolink::bench
