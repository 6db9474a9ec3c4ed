#include "standins/timer_queue.hpp"

namespace mangolink::bench
{

timer_queue::timer_queue() : thread_([this] { run(); })
{
}

timer_queue::~timer_queue()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void timer_queue::at(boot_clock::time_point when, std::function<void()> action)
{
    const std::lock_guard lock(mutex_);
    const auto added = actions_.emplace(when, std::move(action));
    if (added == actions_.begin())
    {
        changed_.notify_all();
    }
}

void timer_queue::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        if (actions_.empty())
        {
            changed_.wait(lock);
            continue;
        }
        const auto first = actions_.begin();
        const auto left = first->first - boot_clock::now();
        if (left > boot_clock::duration(0))
        {
            changed_.wait_for(lock, left);
            continue;
        }
        const auto action = std::move(first->second);
        actions_.erase(first);
        lock.unlock();
        action();
        lock.lock();
    }
}

} // namespace mangolink::bench
