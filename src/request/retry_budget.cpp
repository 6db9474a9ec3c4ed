#include "request/retry_budget.hpp"

#include <algorithm>

namespace mangolink
{

retry_budget::retry_budget(double share, double reserve)
    : share_(share), reserve_(reserve), balance_(reserve)
{
}

void retry_budget::succeeded()
{
    balance_ = std::min(balance_ + share_, reserve_);
}

bool retry_budget::try_acquire()
{
    if (balance_ < 1)
    {
        return false;
    }
    balance_ -= 1;
    return true;
}

} // namespace mangolink
