#include "faultproxy/proxy_flow.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace mangolink::bench
{
namespace
{

constexpr std::size_t read_size = 64 * 1024;

} // namespace

bool proxy_flow::read(const fault_rule& rule, bool hold, milliseconds jitter,
                      boot_clock::time_point now)
{
    char buffer[read_size];
    while (accepting())
    {
        const ssize_t count =
            ::recv(from_, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count < 0)
        {
            return errno == EAGAIN || errno == EINTR;
        }
        closed_ = count == 0;
        if (count > 0 && !hold)
        {
            add({buffer, static_cast<std::size_t>(count)}, rule, jitter, now);
        }
    }
    return true;
}

void proxy_flow::add(std::string bytes, const fault_rule& rule,
                     milliseconds jitter, boot_clock::time_point now)
{
    auto due = std::max(now + rule.delay + jitter, last_due_);
    if (rule.bytes_per_second > 0)
    {
        due += std::chrono::nanoseconds(std::chrono::seconds(1)) *
               static_cast<std::int64_t>(bytes.size()) /
               static_cast<std::int64_t>(rule.bytes_per_second);
    }
    last_due_ = due;
    waiting_bytes_ += bytes.size();
    waiting_.push_back({due, std::move(bytes)});
}

bool proxy_flow::write(boot_clock::time_point now)
{
    while (!waiting_.empty() && waiting_.front().due <= now)
    {
        delayed_chunk& first = waiting_.front();
        const ssize_t count =
            ::send(to_, first.bytes.data(), first.bytes.size(),
                   MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0)
        {
            return errno == EAGAIN || errno == EINTR;
        }
        forwarded_ += static_cast<std::uint64_t>(count);
        waiting_bytes_ -= static_cast<std::size_t>(count);
        first.bytes.erase(0, static_cast<std::size_t>(count));
        if (!first.bytes.empty())
        {
            return true;
        }
        waiting_.pop_front();
    }
    if (finished())
    {
        ::shutdown(to_, SHUT_WR);
    }
    return true;
}

boot_clock::time_point proxy_flow::next_time() const
{
    return waiting_.empty() ? boot_clock::time_point::max()
                            : waiting_.front().due;
}

} // namespace mangolink::bench
