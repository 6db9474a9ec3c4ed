#pragma once

#include "base/clock.hpp"

#include <sys/types.h>

#include <cstdint>

namespace mangolink::bench
{

/// Processor time and memory of a process.
struct process_usage final
{
    microseconds processor{0};        ///< of all threads since the start
    std::uint64_t resident_bytes = 0; ///< current

    /// Reads /proc/PID/stat; all zero if the process does not exist.
    static process_usage of(pid_t process);
};

/// Returns the steal time of this virtual machine since boot, summed over all
/// processors.
milliseconds steal_time();

} // namespace mangolink::bench
