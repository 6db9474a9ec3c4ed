#pragma once

#include <cstdint>

namespace mangolink
{

/// Set of regions, as numbered by a region_table. A set of all regions also
/// holds those that the table does not know.
class region_set final
{
public:
    /// Returns the set of all regions, known or not.
    static constexpr region_set all() { return region_set(~0ULL); }

    static constexpr region_set none() { return region_set(0); }

    /// Returns the set of one region; `index` must be below max_regions.
    static constexpr region_set only(std::uint32_t index)
    {
        return region_set(1ULL << index);
    }

    /// The bit above those of the regions marks the set of all.
    static constexpr std::uint32_t max_regions = 63;

    constexpr bool is_all() const { return bits_ == ~0ULL; }
    constexpr bool empty() const { return bits_ == 0; }

    /// Returns whether every region of the other set is in this one.
    constexpr bool includes(region_set other) const
    {
        return (other.bits_ & ~bits_) == 0;
    }

    /// Returns a number that differs between different sets.
    constexpr std::uint64_t bits() const { return bits_; }

    friend constexpr region_set operator&(region_set a, region_set b)
    {
        return region_set(a.bits_ & b.bits_);
    }

    friend constexpr region_set operator|(region_set a, region_set b)
    {
        return region_set(a.bits_ | b.bits_);
    }

    friend constexpr bool operator==(region_set, region_set) = default;

private:
    explicit constexpr region_set(std::uint64_t bits) : bits_(bits) {}

    std::uint64_t bits_;
};

} // namespace mangolink
