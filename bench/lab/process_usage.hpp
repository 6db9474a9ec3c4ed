#pragma once

#include "base/clock.hpp"

#include <sys/types.h>

#include <cstdint>

namespace mangolink::bench
{

/// What a process has used so far.
struct process_usage final
{
    microseconds processor{0};        ///< in all its threads
    std::uint64_t resident_bytes = 0; ///< now

    /// Reads /proc of a process; zeros when it is gone.
    static process_usage of(pid_t process);
};

/// Returns the time that the host withheld from this machine's processors
/// since it was started, summed over them.
milliseconds steal_time();

} // namespace mangolink::bench
