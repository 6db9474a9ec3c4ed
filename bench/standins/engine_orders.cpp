#include "standins/engine_orders.hpp"

#include <algorithm>

namespace mangolink::bench
{

bool engine_orders::give(engine_order order)
{
    if (checks_fence_ && order.fence < newest_)
    {
        return false;
    }
    newest_ = std::max(newest_, order.fence);
    done_.push_back(std::move(order));
    return true;
}

} // namespace mangolink::bench
