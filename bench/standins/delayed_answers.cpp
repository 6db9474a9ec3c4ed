#include "standins/delayed_answers.hpp"

namespace mangolink::bench
{

delayed_answers::delayed_answers() : thread_([this] { run(); })
{
}

delayed_answers::~delayed_answers()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void delayed_answers::at(boot_clock::time_point when,
                         std::function<void()> action)
{
    const std::lock_guard lock(mutex_);
    const auto added = actions_.emplace(when, std::move(action));
    if (added == actions_.begin())
    {
        changed_.notify_all();
    }
}

void delayed_answers::run()
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
