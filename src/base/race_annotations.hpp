#pragma once

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace mangolink
{

/// Tell ThreadSanitizer about a happens-before relation that an uninstrumented
/// library (liburcu) establishes: operations before annotate_release() on an
/// address happen before those after annotate_acquire() on it. No-ops in other
/// builds.
inline void annotate_release([[maybe_unused]] void* address)
{
#if defined(__SANITIZE_THREAD__)
    __tsan_release(address);
#endif
}

inline void annotate_acquire([[maybe_unused]] void* address)
{
#if defined(__SANITIZE_THREAD__)
    __tsan_acquire(address);
#endif
}

} // namespace mangolink
