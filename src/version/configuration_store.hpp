#pragma once

#include "base/rcu_cell.hpp"
#include "base/result_code.hpp"
#include "version/configuration.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

class audit_trail;

/// Result of passing a document to the store.
struct accept_result final
{
    result_code code = result_code::complete;
    bool changed = false; ///< a newer configuration was installed
    std::string reason;   ///< empty when accepted
};

/// Documents that bring a peer to the current configuration.
struct configuration_update final
{
    std::vector<std::string> patches; ///< in order; empty if snapshot is set
    std::string snapshot;
};

/// Applies published documents to the current configuration.
///
/// A patch is {"base", "number", "author", "time", "changes"} with changes as
/// in RFC 6902; a snapshot is {"number", "value"}. Numbers only increase. One
/// thread passes documents; any thread may read current().
class configuration_store final
{
public:
    /// Records accepted and rejected documents in the trail.
    explicit configuration_store(audit_trail& trail);

    /// Returns the current configuration, or nullptr before the first one.
    std::shared_ptr<const configuration> current() const;

    /// Returns the current position; its number is 0 before the first one.
    configuration_position position() const;

    /// Applies a patch. Fails with outdated_base if its base is not the current
    /// number. A duplicate of an applied patch is accepted without a change.
    accept_result accept_patch(std::string_view document);

    /// Installs a snapshot if its number is higher than the current one.
    accept_result accept_snapshot(std::string_view document);

    /// Validates a patch without applying it. Owner thread only.
    accept_result check_patch(std::string_view document) const;

    /// Returns whether the position of a peer is newer than the local one.
    /// Records a conflict if the peer has another digest for the same number.
    bool is_behind(const configuration_position& peer);

    /// Returns the changes after a number: the patches if they are retained,
    /// otherwise a snapshot. Empty if the number is up to date.
    configuration_update updates_after(std::uint64_t number) const;

    /// Returns the current value as a snapshot document.
    std::string snapshot_document() const;

private:
    struct candidate final
    {
        accept_result result;
        nlohmann::json value;
        std::shared_ptr<const configuration> parsed;
        std::string author;
        std::string canonical; ///< document with sorted members
    };

    struct retained_patch final
    {
        std::uint64_t number;
        std::string document;
    };

    candidate evaluate_patch(std::string_view document) const;
    bool is_applied(const std::string& canonical) const;
    void retain_patch(std::uint64_t number, std::string_view document);
    void install(candidate accepted);

    audit_trail& trail_;
    rcu_cell<configuration> current_;
    nlohmann::json value_;
    std::deque<retained_patch> patches_;
    std::size_t retained_bytes_ = 0;
    configuration_position conflict_;
};

} // namespace mangolink
