#include "connection/connection_watch.hpp"

#include "base/log.hpp"
#include "connection/http_message.hpp"

#include <sys/socket.h>

#include <string>

namespace mangolink
{
namespace
{

constexpr milliseconds sweep_interval{100};

/// Returns an answer as it goes over the wire.
std::string wire_text(const http_answer& answer)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) +
                       " Refused\r\nConnection: close\r\n";
    for (const auto& header : answer.headers)
    {
        text += header.name + ": " + header.value + "\r\n";
    }
    text +=
        "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
    return text + answer.body;
}

} // namespace

connection_watch::connection_watch(connection_watch_settings settings)
    : settings_(std::move(settings))
{
    if (settings_.read_limit > milliseconds(0))
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
            current.state == phase::receiving && age > settings_.read_limit;
        const bool unused =
            current.state == phase::idle && age > settings_.idle_limit;
        if (!slow && !unused)
        {
            continue;
        }
        if (slow)
        {
            const std::string text = wire_text(settings_.slow_answer());
            ::send(current.descriptor, text.data(), text.size(),
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
