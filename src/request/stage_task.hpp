#pragma once

#include "base/clock.hpp"
#include "process/region_set.hpp"
#include "request/stage_item_outcome.hpp"
#include "request/stage_plan.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mangolink
{

/// Receives the outcomes of the items of a task.
class stage_client
{
public:
    virtual ~stage_client() = default;

    /// Returns whether the client still needs the items.
    virtual bool wants_items() const = 0;

    /// Reports the outcome of an item. The client releases a result that it
    /// does not need.
    virtual void item_ended(stage_item item, stage_item_answer answer) = 0;
};

/// Items of one stage of a request that are ready to be processed.
struct stage_task final
{
    std::weak_ptr<stage_client> client;
    std::string request_id;
    std::string service;
    std::uint32_t stage = 0;
    std::vector<std::uint32_t> items; ///< indices of the items
    std::string item_key;             ///< input of stages without predecessors
    std::vector<std::string> inputs;  ///< results of earlier stages
    boot_clock::time_point due;       ///< target for the results
    boot_clock::time_point deadline;  ///< results are useless afterwards
    std::uint32_t stages_after = 0;   ///< longest chain of dependent stages
    std::uint64_t result_bytes = 0;   ///< approximate size of one result
    std::uint64_t input_bytes = 0;    ///< approximate size of one input
    std::string preferred_zone;       ///< zone of the model engine, or empty
    milliseconds preference{0};       ///< wait that this zone is worth
    region_set regions = region_set::all(); ///< that the items may run in

    /// Returns whether the client still exists and needs the items.
    bool wanted() const
    {
        const auto locked = client.lock();
        return locked && locked->wants_items();
    }
};

} // namespace mangolink
