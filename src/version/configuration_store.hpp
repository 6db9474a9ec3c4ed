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

/// Outcome of offering a document to the store.
struct accept_result final
{
    result_code code = result_code::complete;
    bool changed = false; ///< the current configuration is a newer one now
    std::string reason;   ///< empty when accepted
};

/// Documents that bring a peer up to date.
struct configuration_update final
{
    std::vector<std::string> patches; ///< in order; empty when whole is set
    std::string snapshot;
};

/// Folds published documents into the current configuration.
///
/// A patch is {"base", "number", "author", "time", "changes"} with changes as
/// in RFC 6902; a whole value is {"number", "value"}. Numbers only grow. One
/// thread offers documents; any thread reads current().
class configuration_store final
{
public:
    /// Records every acceptance and refusal in the trail.
    explicit configuration_store(audit_trail& trail);

    /// Returns the configuration in force, or nullptr before the first.
    std::shared_ptr<const configuration> current() const;

    /// Returns the position in force; number 0 before the first.
    configuration_position position() const;

    /// Folds a patch. outdated_base when its base is not the current number;
    /// a copy of a patch in force changes nothing and is not refused.
    accept_result accept_patch(std::string_view document);

    /// Takes a whole value when its number is higher than the current one.
    accept_result accept_snapshot(std::string_view document);

    /// Tries a patch without taking it. Owner thread only.
    accept_result check_patch(std::string_view document) const;

    /// Compares with what a peer says it has; returns whether the peer is
    /// ahead. Records a conflict when the same number has another digest.
    bool is_behind(const configuration_position& peer);

    /// Returns what follows the number: patches while they are kept, else the
    /// whole value. Empty when nothing follows.
    configuration_update updates_after(std::uint64_t number) const;

    /// Returns the whole current value as a document.
    std::string snapshot_document() const;

private:
    struct candidate final
    {
        accept_result result;
        nlohmann::json value;
        std::shared_ptr<const configuration> parsed;
        std::string author;
        std::string canonical; ///< the document with its members in order
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
