#pragma once

#include <cstdint>
#include <string>

namespace mangolink
{

/// Outcome of an item of a stage. The values are part of messages between
/// processes.
enum class stage_item_outcome : std::uint8_t
{
    made = 0,
    late = 1,     ///< its time ran out before it was processed
    no_input = 2, ///< a result it depends on no longer exists
    no_room = 3,  ///< the server has no free memory for the result
    failed = 4,
    unsent = 5 ///< not sent in a call; choose another server
};

/// Outcome of an item and its result, if any.
struct stage_item_answer final
{
    stage_item_outcome end = stage_item_outcome::failed;
    std::string handle; ///< identifies the result and its server
};

} // namespace mangolink
