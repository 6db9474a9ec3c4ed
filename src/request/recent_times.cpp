#include "request/recent_times.hpp"

#include <cstddef>
#include <utility>

namespace mangolink
{
namespace
{

/// Number of keys in each of the two maps.
constexpr std::size_t max_keys = 2048;

} // namespace

void recent_times::set(std::uint64_t key, boot_clock::time_point time)
{
    newer_[key] = time;
    if (newer_.size() > max_keys)
    {
        older_ = std::move(newer_);
        newer_.clear();
    }
}

std::optional<boot_clock::time_point>
recent_times::find(std::uint64_t key) const
{
    for (const auto* times : {&newer_, &older_})
    {
        if (const auto found = times->find(key); found != times->end())
        {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace mangolink
