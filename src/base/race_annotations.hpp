#pragma once

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace mangolink
{

/// Tell the thread sanitizer of an order that an uninstrumented library
/// (liburcu) establishes: what was done before annotate_release() on an
/// address happens before what follows annotate_acquire() on it. They do
/// nothing in other builds.
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
