#include "base/incarnation.hpp"

#include <absl/strings/str_format.h>

#include <random>

namespace mangolink
{

incarnation incarnation::random()
{
    std::random_device source;
    std::uint64_t value = 0;
    while (value == 0)
    {
        value = (static_cast<std::uint64_t>(source()) << 32) | source();
    }
    return incarnation(value);
}

std::string incarnation::text() const
{
    return absl::StrFormat("%016x", value_);
}

} // namespace mangolink
