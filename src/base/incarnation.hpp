#pragma once

#include <cstdint>
#include <string>

namespace mangolink
{

/// Random number that identifies one run of a process; 0 means unknown.
class incarnation final
{
public:
    constexpr incarnation() = default;
    constexpr explicit incarnation(std::uint64_t value) : value_(value) {}

    /// Returns a new value from the system's random source; never 0.
    static incarnation random();

    constexpr std::uint64_t value() const { return value_; }
    constexpr bool known() const { return value_ != 0; }

    /// Returns 16 hexadecimal digits.
    std::string text() const;

    friend constexpr bool operator==(incarnation, incarnation) = default;

private:
    std::uint64_t value_ = 0;
};

} // namespace mangolink
