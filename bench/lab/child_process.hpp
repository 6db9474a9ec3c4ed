#pragma once

#include "base/clock.hpp"

#include <sys/types.h>

#include <string>
#include <vector>

namespace mangolink::bench
{

/// Child process, killed when the object is destroyed.
class child_process final
{
public:
    /// Starts the program and appends its output to a file.
    child_process(const std::vector<std::string>& command,
                  const std::string& output);
    ~child_process();

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;

    pid_t id() const { return id_; }

    void signal(int number) const;

    /// Waits for the process to exit; returns the exit code, or the negative
    /// number of the signal that terminated it. Kills it and returns -1000
    /// after the time limit.
    int wait(milliseconds limit);

    bool running();

    /// Returns whether the program has arranged for a signal: blocks, catches
    /// or ignores it. False until its code runs.
    bool handles(int number) const;

private:
    bool reap(bool block);

    pid_t id_ = -1;
    bool ended_ = false;
    int exit_code_ = 0;
};

/// Polls the condition until it holds; false after the time limit.
template <class Condition>
bool wait_until(Condition condition, milliseconds limit = milliseconds(30'000));

} // namespace mangolink::bench

#include <thread>

template <class Condition>
bool mangolink::bench::wait_until(Condition condition, milliseconds limit)
{
    const auto end = boot_clock::now() + limit;
    while (!condition())
    {
        if (boot_clock::now() > end)
        {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}
