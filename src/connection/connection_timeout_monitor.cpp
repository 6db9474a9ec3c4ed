#include "connection/connection_timeout_monitor.hpp"

#include "base/log.hpp"
#include "connection/http_message.hpp"

#include <sys/socket.h>

#include <string>

namespace mangolink
{
namespace
{

constexpr milliseconds check_interval{100};

/// Serializes a response as HTTP/1.1.
std::string serialize_response(const http_response& response)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                       " Refused\r\nConnection: close\r\n";
    for (const auto& header : response.headers)
    {
        text += header.name + ": " + header.value + "\r\n";
    }
    text +=
        "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    return text + response.body;
}

} // namespace

connection_timeout_monitor::connection_timeout_monitor(
    connection_timeout_monitor_settings settings)
    : settings_(std::move(settings))
{
    if (settings_.read_limit > milliseconds(0))
    {
        thread_ = std::thread([this] { run(); });
    }
}

connection_timeout_monitor::~connection_timeout_monitor()
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

void connection_timeout_monitor::on_opened(const MHD_Connection* connection,
                                           int descriptor)
{
    const std::lock_guard lock(mutex_);
    connections_[connection] = {descriptor, phase::receiving,
                                boot_clock::now()};
}

void connection_timeout_monitor::on_request_started(
    const MHD_Connection* connection)
{
    set(connection, phase::receiving);
}

void connection_timeout_monitor::on_request_completed(
    const MHD_Connection* connection)
{
    set(connection, phase::idle);
}

void connection_timeout_monitor::on_closed(const MHD_Connection* connection)
{
    const std::lock_guard lock(mutex_);
    connections_.erase(connection);
}

bool connection_timeout_monitor::on_request_received(
    const MHD_Connection* connection)
{
    const std::lock_guard lock(mutex_);
    connection_entry& entry = connections_[connection];
    if (entry.state == phase::closing)
    {
        return false;
    }
    entry.state = phase::responding;
    return true;
}

void connection_timeout_monitor::set(const MHD_Connection* connection,
                                     phase state)
{
    const std::lock_guard lock(mutex_);
    connection_entry& entry = connections_[connection];
    if (entry.state != phase::closing)
    {
        entry.state = state;
        entry.since = boot_clock::now();
    }
}

void connection_timeout_monitor::close_expired()
{
    const auto now = boot_clock::now();
    const std::lock_guard lock(mutex_);
    for (auto& [connection, entry] : connections_)
    {
        const auto age = now - entry.since;
        const bool slow =
            entry.state == phase::receiving && age > settings_.read_limit;
        const bool idle_expired =
            entry.state == phase::idle && age > settings_.idle_limit;
        if (!slow && !idle_expired)
        {
            continue;
        }
        if (slow)
        {
            const std::string text =
                serialize_response(settings_.make_timeout_response());
            ::send(entry.descriptor, text.data(), text.size(),
                   MSG_DONTWAIT | MSG_NOSIGNAL);
            log_detail("callers", "Request arrived too slowly.");
        }
        entry.state = phase::closing;
        ::shutdown(entry.descriptor, SHUT_RDWR);
    }
}

void connection_timeout_monitor::run()
{
    while (true)
    {
        std::this_thread::sleep_for(check_interval);
        close_expired();
        const std::lock_guard lock(mutex_);
        if (stopping_)
        {
            return;
        }
    }
}

} // namespace mangolink
