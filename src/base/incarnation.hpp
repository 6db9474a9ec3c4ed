#pragma once

#include <cstdint>
#include <string>

namespace mangolink
{

/// Random number that names one start of one process; never 0.
class incarnation final
{
public:
    constexpr incarnation() = default;
    constexpr explicit incarnation(std::uint64_t value) : value_(value) {}

    /// Draws a fresh value from the system's random source.
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
