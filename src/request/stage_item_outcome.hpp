#pragma once

#include <cstdint>
#include <string>

namespace mangolink
{

/// How a piece of a stage ended. The numbers are part of messages between
/// processes.
enum class stage_item_outcome : std::uint8_t
{
    made = 0,
    late = 1,     ///< its time was over before its turn
    no_input = 2, ///< a result that it needs no longer exists
    no_room = 3,
    failed = 4,
    unsent = 5 ///< no call held it; another server should be chosen
};

/// End of one piece.
struct stage_item_answer final
{
    stage_item_outcome end = stage_item_outcome::failed;
    std::string handle; ///< names the result and the server that keeps it
};

} // namespace mangolink
