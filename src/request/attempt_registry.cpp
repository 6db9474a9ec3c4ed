#include "request/attempt_registry.hpp"

namespace mangolink
{

attempt_registry::attempt_registry(microseconds retention)
    : retention_(retention)
{
}

bool attempt_registry::add(const attempt_key& key, boot_clock::time_point now)
{
    if (!known_.insert(key).second)
    {
        return false;
    }
    order_.push_back({now, key});
    return true;
}

void attempt_registry::expire(boot_clock::time_point now)
{
    while (!order_.empty() && now - order_.front().added > retention_)
    {
        known_.erase(order_.front().key);
        order_.pop_front();
    }
}

} // namespace mangolink
