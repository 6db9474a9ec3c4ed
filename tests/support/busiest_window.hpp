#pragma once

#include "base/clock.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace mangolink::test
{

/// Returns the largest number of times in any window of a length. The times
/// must be in order.
inline std::size_t
busiest_window(const std::vector<boot_clock::time_point>& times,
               milliseconds window)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last)
    {
        while (times[first] + window <= times[last])
        {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace mangolink::test
