#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_set.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mangolink
{

/// Position in the history of the platform's store. A higher era comes after
/// every revision of a lower one.
struct store_position final
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    friend auto operator<=>(const store_position&,
                            const store_position&) = default;
};

/// Zone whose servers get no new work, at the operators' request.
struct zone_evacuation final
{
    std::string zone;
    std::uint64_t revision = 0;           ///< of the request in the store
    boot_clock::time_point known_since{}; ///< in this process
};

/// Effect of new information about evacuations, for logging.
struct evacuation_changes final
{
    std::vector<zone_evacuation> begun;
    std::vector<zone_evacuation> ended;

    bool empty() const { return begun.empty() && ended.empty(); }
};

/// Evacuations that the operators requested, as of a position in the store.
///
/// Processes that read the store follow its changes; others replace their list
/// by that of a reader, unless theirs is newer. Not thread-safe.
class zone_evacuations final
{
public:
    using zone_set = absl::flat_hash_set<std::string>;

    /// Applies one change that was read from the store.
    evacuation_changes begin(const std::string& zone, std::uint64_t revision,
                             boot_clock::time_point now);
    evacuation_changes end(const std::string& zone);

    /// Replaces the list by one that was complete at a position. A list of an
    /// older position changes nothing.
    evacuation_changes replace(const std::vector<zone_evacuation>& evacuations,
                               store_position at, boot_clock::time_point now);

    /// Adds the evacuations of a list that may lack some.
    evacuation_changes add(const std::vector<zone_evacuation>& evacuations,
                           boot_clock::time_point now);

    /// Records that the list holds all changes up to a position.
    void confirm(store_position at);

    /// Returns the position that the list is as new as.
    store_position position() const { return position_; }

    /// Returns the evacuations by zone.
    const std::map<std::string, zone_evacuation>& all() const { return all_; }

    zone_set zones() const;

    /// Returns a hash of the zones, the same in every process.
    std::uint64_t digest() const;

private:
    std::map<std::string, zone_evacuation> all_;
    store_position position_;
};

} // namespace mangolink
