#pragma once

#include "connection/wakeup.hpp"

#include <urcu/wfcqueue.h>

#include <atomic>
#include <functional>
#include <memory>

namespace mangolink
{

/// Queue of commands from any thread to one event loop. Pushing is wait-free.
class command_queue final
{
public:
    using command = std::function<void()>;

    command_queue();

    /// Discards the commands that were not run.
    ~command_queue();

    command_queue(const command_queue&) = delete;
    command_queue& operator=(const command_queue&) = delete;

    /// Adds a command and wakes the loop. Thread-safe.
    void push(command action);

    /// Runs all queued commands in order. Call on the loop's thread only.
    void run_all();

    /// Returns the descriptor that the loop polls for reading.
    int descriptor() const { return wakeup_.descriptor(); }

private:
    struct node final : cds_wfcq_node
    {
        command action;
    };

    std::unique_ptr<node> dequeue();

    cds_wfcq_head head_;
    cds_wfcq_tail tail_;
    std::atomic<bool> signalled_{false};
    wakeup wakeup_;
};

} // namespace mangolink
