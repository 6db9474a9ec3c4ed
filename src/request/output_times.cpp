#include "request/output_times.hpp"

#include <cstddef>
#include <utility>

namespace mangolink
{
namespace
{

/// Number of parts in each of the two maps.
constexpr std::size_t max_parts = 2048;

} // namespace

void output_times::add(std::uint64_t part, boot_clock::time_point time)
{
    newer_[part] = time;
    if (newer_.size() > max_parts)
    {
        older_ = std::move(newer_);
        newer_.clear();
    }
}

std::optional<boot_clock::time_point>
output_times::find(std::uint64_t part) const
{
    for (const auto* times : {&newer_, &older_})
    {
        if (const auto found = times->find(part); found != times->end())
        {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace mangolink
