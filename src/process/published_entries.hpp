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

/// One change of the published entries.
struct entry_change final
{
    std::string id;
    std::optional<backend_server> entry; ///< nothing: removed
};

/// Entries of backend servers as the platform publishes them, with the latest
/// changes, so that a process that knows an older state gets only those.
///
/// States are compared by a digest that does not depend on the order of
/// changes. Reports that change nothing but their number are left out. Used
/// by one thread.
class published_entries final
{
public:
    void replace_all(const std::vector<backend_server>& entries);
    void put(const backend_server& entry);
    void remove(const std::string& id);

    std::uint64_t digest() const { return digest_; }

    /// Returns the changes since the state with a digest, in order; nothing
    /// when that state is not remembered.
    std::optional<std::vector<entry_change>>
    changes_since(std::uint64_t digest) const;

    /// Returns every entry.
    std::vector<backend_server> all() const;

private:
    struct past_change final
    {
        std::uint64_t before = 0; ///< digest of the state it changed
        entry_change change;
    };

    void record(entry_change change);

    absl::flat_hash_map<std::string, backend_server> entries_;
    std::uint64_t digest_ = 0;
    std::deque<past_change> past_changes_;
};

} // namespace mangolink
