#pragma once

#include <exception>

namespace mangolink
{

/// Completion handler for a coroutine that nobody waits for: logs the exception
/// that ended it.
class failure_log final
{
public:
    /// `work` names the coroutine in the log; a string literal.
    explicit failure_log(const char* work) : work_(work) {}

    void operator()(const std::exception_ptr& failure) const;

private:
    const char* work_;
};

} // namespace mangolink
