#pragma once

#include "process/backend_server.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

/// A change of one published entry.
struct entry_change final
{
    std::string id;
    std::optional<backend_server> entry; ///< empty if the entry was removed
};

/// Entries of backend servers as published by the platform, with a history of
/// recent changes, so that a process with an older state needs only these.
///
/// States are identified by a digest that does not depend on the order of the
/// changes. Reports that change only the sequence number are not recorded. Not
/// thread-safe.
class published_entries final
{
public:
    void replace_all(const std::vector<backend_server>& entries);
    void put(const backend_server& entry);
    void remove(const std::string& id);

    std::uint64_t digest() const { return digest_; }

    /// Returns the changes since the state with this digest, in order, or
    /// nothing if that state is not in the history.
    std::optional<std::vector<entry_change>>
    changes_since(std::uint64_t digest) const;

    std::vector<backend_server> all() const;

private:
    struct past_change final
    {
        std::uint64_t digest_before =
            0; ///< digest of the state before the change
        entry_change change;
    };

    void record(entry_change change);

    absl::flat_hash_map<std::string, backend_server> entries_;
    std::uint64_t digest_ = 0;
    std::deque<past_change> past_changes_;
};

} // namespace mangolink
