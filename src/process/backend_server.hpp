#pragma once

#include "base/socket_address.hpp"

#include <cstdint>
#include <string>

namespace mangolink
{

/// Backend server as the platform's directory shows it.
struct backend_server final
{
    std::string id; ///< unique; mostly new at each start
    std::string service;
    socket_address address;
    std::string zone;
    std::uint32_t slots = 1;
    std::uint64_t started_ms = 0; ///< tells two starts under one id apart
    std::uint64_t sequence = 0;   ///< grows with each report of one start
    bool leaving = false;

    /// Returns whether this report is older than the other of the same id.
    bool older_than(const backend_server& other) const
    {
        return started_ms != other.started_ms ? started_ms < other.started_ms
                                              : sequence < other.sequence;
    }

    /// Returns whether both say the same of the server.
    bool has_same_attributes(const backend_server& other) const
    {
        return service == other.service && address == other.address &&
               zone == other.zone && slots == other.slots &&
               started_ms == other.started_ms && leaving == other.leaving;
    }
};

} // namespace mangolink
