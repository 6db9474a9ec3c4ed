#pragma once

#include "base/clock.hpp"
#include "version/gateway_route.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mangolink
{

/// Identifies one item of one stage of a request.
struct stage_item final
{
    std::uint32_t stage = 0;
    std::uint32_t index = 0; ///< within the stage

    friend bool operator==(const stage_item&, const stage_item&) = default;
};

/// Result that is stored by a backend server.
struct stage_result final
{
    std::string handle;      ///< identifies the result and its server
    std::uint64_t bytes = 0; ///< approximate size
};

/// Tracks the items of the stages of a request: their state, their dependencies
/// and the handles of their results. Not thread-safe.
class stage_plan final
{
public:
    /// @param item_counts  Items per stage; missing entries count as 0. Stages
    ///     without items are skipped.
    stage_plan(std::vector<stage_definition> stages,
               const std::vector<std::uint32_t>& item_counts);

    /// Returns the items that should be processed now, and marks them as
    /// issued. A stage parallel to a longer chain starts as late as the chain
    /// allows, so that its results do not occupy memory in the meantime.
    std::vector<stage_item> take_ready();

    /// Records the result of an item. Returns false if the item is not issued,
    /// because it already has a result or was requeued; the caller then
    /// releases the result.
    bool made(stage_item item, std::string handle);

    /// Marks an item as not issued, so that take_ready() returns it again.
    void requeue(stage_item item);

    /// Resets all items; returns the handles of the results to release.
    std::vector<std::string> restart();

    /// Returns the handles of the results that an item of this stage needs.
    std::vector<std::string> inputs_of(std::uint32_t stage) const;

    /// Returns the results of the stages whose results no other stage uses.
    std::vector<stage_result> final_results() const;

    /// Returns the results that all dependent stages have used, and marks them
    /// as released.
    std::vector<std::string> take_used();

    /// Returns the handles of all results that are not released.
    std::vector<std::string> unreleased() const;

    /// Returns whether all items have a result.
    bool complete() const;

    /// Returns the length of the longest chain of stages that depend on this
    /// one.
    std::uint32_t stages_after(std::uint32_t stage) const;

    /// Returns the duration of all stages, given the duration of each.
    milliseconds expected_time(
        const std::function<milliseconds(std::uint32_t stage)>& time) const;

    /// Returns the number of items of a stage.
    std::size_t item_count(std::uint32_t stage) const
    {
        return items_[stage].size();
    }

    const stage_definition& stage(std::uint32_t stage_index) const
    {
        return stages_[stage_index];
    }

private:
    enum class item_state : std::uint8_t
    {
        waiting,
        issued,
        made,
        released ///< made; the result was used and released
    };
    struct item_record final
    {
        item_state state = item_state::waiting;
        std::string handle;
    };

    bool all_made(std::uint32_t stage) const;
    bool inputs_made(std::uint32_t stage) const;
    std::uint32_t longest_chain() const;
    bool is_final(std::uint32_t stage) const;
    void append_handles(std::uint32_t stage,
                        std::vector<std::string>& handles) const;

    std::vector<stage_definition> stages_;
    std::vector<std::vector<item_record>> items_; ///< by stage
};

} // namespace mangolink
