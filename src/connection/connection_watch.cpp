#include "connection/connection_watch.hpp"

#include "process/log.hpp"

#include <sys/socket.h>

#include <string_view>

namespace mangolink
{
namespace
{

constexpr milliseconds sweep_interval{100};

constexpr std::string_view too_slow =
    "HTTP/1.1 408 Request Timeout\r\n"
    "Content-Type: application/json\r\n"
    "Connection: close\r\n"
    "Mangolink-Code: 1112\r\n"
    "Mangolink-Outcome: not_run\r\n"
    "Content-Length: 59\r\n\r\n"
    "{\"code\":1112,\"name\":\"request_too_slow\",\"outcome\":\"not_run\"}";

} // namespace

connection_watch::connection_watch(milliseconds read_limit,
                                   milliseconds idle_limit)
    : read_limit_(read_limit), idle_limit_(idle_limit)
{
    if (read_limit_ > milliseconds(0))
    {
        thread_ = std::thread([this] { run(); });
    }
}

connection_watch::~connection_watch()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void connection_watch::opened(const MHD_Connection* connection, int descriptor)
{
    const std::lock_guard lock(mutex_);
    rows_[connection] = {descriptor, phase::receiving, boot_clock::now()};
}

void connection_watch::receiving(const MHD_Connection* connection)
{
    set(connection, phase::receiving);
}

void connection_watch::answered(const MHD_Connection* connection)
{
    set(connection, phase::idle);
}

void connection_watch::closed(const MHD_Connection* connection)
{
    const std::lock_guard lock(mutex_);
    rows_.erase(connection);
}

bool connection_watch::received(const MHD_Connection* connection)
{
    const std::lock_guard lock(mutex_);
    row& current = rows_[connection];
    if (current.state == phase::refused)
    {
        return false;
    }
    current.state = phase::answering;
    return true;
}

void connection_watch::set(const MHD_Connection* connection, phase state)
{
    const std::lock_guard lock(mutex_);
    row& current = rows_[connection];
    if (current.state != phase::refused)
    {
        current.state = state;
        current.since = boot_clock::now();
    }
}

void connection_watch::sweep()
{
    const auto now = boot_clock::now();
    const std::lock_guard lock(mutex_);
    for (auto& [connection, current] : rows_)
    {
        const auto age = now - current.since;
        const bool slow =
            current.state == phase::receiving && age > read_limit_;
        const bool unused = current.state == phase::idle && age > idle_limit_;
        if (!slow && !unused)
        {
            continue;
        }
        if (slow)
        {
            ::send(current.descriptor, too_slow.data(), too_slow.size(),
                   MSG_DONTWAIT | MSG_NOSIGNAL);
            log_detail("callers", "Request arrived too slowly.");
        }
        current.state = phase::refused;
        ::shutdown(current.descriptor, SHUT_RDWR);
    }
}

void connection_watch::run()
{
    while (true)
    {
        std::this_thread::sleep_for(sweep_interval);
        sweep();
        const std::lock_guard lock(mutex_);
        if (stopping_)
        {
            return;
        }
    }
}

} // namespace mangolink
