#pragma once

#include "base/clock.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace mangolink::bench
{

/// Runs actions at given times on one thread.
class timer_queue final
{
public:
    timer_queue();

    /// Discards actions that are not due yet.
    ~timer_queue();

    void at(boot_clock::time_point when, std::function<void()> action);

private:
    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<boot_clock::time_point, std::function<void()>> actions_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace mangolink::bench
