#include "standins/engine_commands.hpp"

#include <algorithm>

namespace mangolink::bench
{

bool engine_commands::execute(engine_command command)
{
    if (checks_fence_ && command.fence < newest_fence_)
    {
        return false;
    }
    newest_fence_ = std::max(newest_fence_, command.fence);
    executed_.push_back(std::move(command));
    return true;
}

} // namespace mangolink::bench
