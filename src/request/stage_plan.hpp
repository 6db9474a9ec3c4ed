#pragma once

#include "base/clock.hpp"
#include "version/gateway_route.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mangolink
{

/// One piece of one stage of a request.
struct stage_item final
{
    std::uint32_t stage = 0;
    std::uint32_t index = 0;

    friend bool operator==(const stage_item&, const stage_item&) = default;
};

/// Result that a backend server keeps.
struct stage_result final
{
    std::string handle;      ///< names the result and its keeper
    std::uint64_t bytes = 0; ///< approximate size
};

/// Tracks the pieces of a request's stages: which may be made, which are
/// made, and where the results lie. Used by one thread.
class stage_plan final
{
public:
    /// A stage without pieces is left out. Missing counts are 0.
    stage_plan(std::vector<stage_definition> stages,
               const std::vector<std::uint32_t>& item_counts);

    /// Returns the pieces that should be made now and were not returned before.
    /// A stage beside a longer chain begins with the last stages of the chain,
    /// so that its results do not take up room meanwhile.
    std::vector<stage_item> take_ready();

    /// Takes the result of a piece. Returns false when the piece already has
    /// one or was given back meanwhile; the result is then of no use.
    bool made(stage_item index, std::string handle);

    /// Gives back a piece that was not made; take_ready() returns it again.
    void requeue(stage_item index);

    /// Forgets every result; returns their handles.
    std::vector<std::string> restart();

    /// Returns the results that a piece of this stage needs.
    std::vector<std::string> inputs_of(std::uint32_t stage) const;

    /// Returns the results that no other stage follows.
    std::vector<stage_result> final_results() const;

    /// Returns results that every follower has used, each only once.
    std::vector<std::string> take_used();

    /// Returns every result that take_used() has not returned.
    std::vector<std::string> unreleased() const;

    /// Returns whether every piece is made.
    bool complete() const;

    /// Returns how many stages must still follow this one.
    std::uint32_t stages_after(std::uint32_t stage) const;

    /// Returns how long all stages take together, given the time of each.
    milliseconds expected_time(
        const std::function<milliseconds(std::uint32_t stage)>& time) const;

    /// Returns how many pieces a stage has.
    std::size_t pieces(std::uint32_t stage) const
    {
        return items_[stage].size();
    }

    const stage_definition& stage(std::uint32_t index) const
    {
        return stages_[index];
    }

private:
    enum class item_state : std::uint8_t
    {
        waiting,
        issued,
        made,
        released ///< made; its result was used and given up
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
