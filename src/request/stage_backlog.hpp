#pragma once

#include "request/stage_task.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace mangolink
{

/// Item that is queued for a call of a stage server.
struct waiting_item final
{
    std::shared_ptr<const stage_task> task;
    std::uint32_t index = 0; ///< of the item within its stage
};

/// Items that wait for a call of one stage server, or of whichever server of a
/// group is the first that can make it.
struct stage_backlog final
{
    std::vector<waiting_item> items;
    /// Late items wait only for the places that the items in time leave free in
    /// the next call of each server.
    bool limits_late_items = false;
};

} // namespace mangolink
