#pragma once

#include "base/clock.hpp"

#include <sys/types.h>

#include <string>
#include <vector>

namespace mangolink::bench
{

/// A process that a test started; killed by id when the test ends.
class child_process final
{
public:
    /// Starts the program with its output in the file.
    child_process(const std::vector<std::string>& command,
                  const std::string& output);
    ~child_process();

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;

    pid_t id() const { return id_; }

    /// Sends a signal.
    void signal(int number) const;

    /// Waits for the end; returns the exit code, or minus the signal that
    /// ended it. Kills it and returns -1000 when the limit passes.
    int wait(milliseconds limit);

    /// Returns whether it still runs.
    bool running();

private:
    bool reap(bool block);

    pid_t id_ = -1;
    bool ended_ = false;
    int exit_code_ = 0;
};

/// Waits until the condition holds; false when the limit passes first.
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
