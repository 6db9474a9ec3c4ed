#pragma once

#include "base/clock.hpp"
#include "base/hash.hpp"
#include "base/socket_address.hpp"

#include <cstdint>
#include <string>

namespace mangolink
{

/// Backend server as published in the platform's directory.
struct backend_server final
{
    std::string id; ///< unique; usually changes at each start
    std::string service;
    socket_address address;
    std::string zone;
    std::uint32_t slots = 1;
    std::uint64_t started_ms = 0; ///< distinguishes starts with the same id
    std::uint64_t sequence = 0;   ///< increases with each report of one start
    bool leaving = false;
    /// Until then the server is slow and takes few requests.
    boot_clock::time_point cold_until{};
    /// Distinguishes the cold periods of one start; 0: not cold. Differs
    /// between processes that read the platform.
    std::uint64_t cold_period = 0;

    /// Returns the hash of the id and the start, the same on every machine.
    std::uint64_t start_hash() const { return stable_hash(id, started_ms); }

    bool is_cold(boot_clock::time_point now) const { return cold_until > now; }

    /// Returns whether this report is older than another one of the same id.
    bool older_than(const backend_server& other) const
    {
        return started_ms != other.started_ms ? started_ms < other.started_ms
                                              : sequence < other.sequence;
    }

    /// Returns whether both reports describe the same server state. Ignores the
    /// sequence number.
    bool has_same_attributes(const backend_server& other) const
    {
        return service == other.service && address == other.address &&
               zone == other.zone && slots == other.slots &&
               started_ms == other.started_ms && leaving == other.leaving &&
               cold_period == other.cold_period;
    }
};

} // namespace mangolink
