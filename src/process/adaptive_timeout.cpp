#include "process/adaptive_timeout.hpp"

namespace mangolink
{
namespace
{

constexpr int max_factor = 4;

/// A limit must be this much longer than the last answer took.
constexpr double latency_margin = 1.5;

} // namespace

void adaptive_timeout::record_timeout()
{
    factor_ = factor_ < max_factor ? factor_ * 2 : 1;
}

void adaptive_timeout::record_success(milliseconds usual, milliseconds took)
{
    factor_ = 1;
    while (factor_ < max_factor && limit(usual) < took * latency_margin)
    {
        factor_ *= 2;
    }
}

} // namespace mangolink
