#include "base/stop_signal.hpp"

#include <pthread.h>

#include <csignal>
#include <ctime>

namespace mangolink
{
namespace
{

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

stop_signal::stop_signal()
{
    const sigset_t set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

bool stop_signal::wait(milliseconds limit) const
{
    const sigset_t set = stop_signals();
    const auto whole_seconds =
        std::chrono::duration_cast<std::chrono::seconds>(limit);
    timespec time{};
    time.tv_sec = whole_seconds.count();
    time.tv_nsec = std::chrono::nanoseconds(limit - whole_seconds).count();
    return sigtimedwait(&set, nullptr, &time) > 0;
}

} // namespace mangolink
