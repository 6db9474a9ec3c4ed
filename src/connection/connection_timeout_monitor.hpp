#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>

struct MHD_Connection;

namespace mangolink
{

struct http_response;

/// Timeouts of a connection.
struct connection_timeout_monitor_settings final
{
    milliseconds read_limit{0}; ///< for receiving a request; 0: none
    milliseconds idle_limit{0}; ///< between two requests
    std::function<http_response()>
        make_timeout_response; ///< sent after read_limit
};

/// Closes connections that take too long to send a request, even if bytes keep
/// arriving, after sending the timeout response, and closes idle connections.
///
/// Thread-safe.
class connection_timeout_monitor final
{
public:
    explicit connection_timeout_monitor(
        connection_timeout_monitor_settings settings);
    ~connection_timeout_monitor();

    connection_timeout_monitor(const connection_timeout_monitor&) = delete;
    connection_timeout_monitor&
    operator=(const connection_timeout_monitor&) = delete;

    /// Track a connection from accept to close.
    void on_opened(const MHD_Connection* connection, int descriptor);
    void on_request_started(const MHD_Connection* connection);
    void on_request_completed(const MHD_Connection* connection);
    void on_closed(const MHD_Connection* connection);

    /// Marks a request as received; returns false if a timeout has already
    /// closed its connection.
    bool on_request_received(const MHD_Connection* connection);

private:
    enum class phase : std::uint8_t
    {
        receiving,
        responding,
        idle,
        closing
    };

    struct connection_entry final
    {
        int descriptor = -1;
        phase state = phase::receiving;
        boot_clock::time_point since;
    };

    void set(const MHD_Connection* connection, phase state);
    void close_expired();
    void run();

    connection_timeout_monitor_settings settings_;
    std::mutex mutex_;
    absl::flat_hash_map<const MHD_Connection*, connection_entry> connections_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace mangolink
