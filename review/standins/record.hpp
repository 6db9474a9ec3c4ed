#pragma once

#include "http.hpp"

#include <fstream>
#include <mutex>
#include <string>

namespace review
{

/// Record of a case: what was sent, answered and run. Thread safe.
class record final
{
public:
    explicit record(const std::string& path) : out_(path) {}

    void add(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        const auto passed = std::chrono::duration_cast<milliseconds>(
            clock::now() - start_time_);
        out_ << passed.count() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    clock::time_point start_time_ = clock::now();
};

} // namespace review
