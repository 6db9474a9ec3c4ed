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

/// Limits of a connection's time.
struct connection_timeout_monitor_settings final
{
    milliseconds read_limit{0}; ///< for a request to arrive; 0: any time
    milliseconds idle_limit{0}; ///< between two requests
    std::function<http_response()>
        make_timeout_response; ///< after the read limit
};

/// Ends connections whose request takes too long to arrive, however steadily
/// its bytes trickle in. The caller is told by the slow answer.
///
/// Any thread may call any member.
class connection_timeout_monitor final
{
public:
    explicit connection_timeout_monitor(
        connection_timeout_monitor_settings settings);
    ~connection_timeout_monitor();

    connection_timeout_monitor(const connection_timeout_monitor&) = delete;
    connection_timeout_monitor&
    operator=(const connection_timeout_monitor&) = delete;

    /// Follow a connection from its acceptance to its end.
    void on_opened(const MHD_Connection* connection, int descriptor);
    void receiving(const MHD_Connection* connection);
    void on_request_completed(const MHD_Connection* connection);
    void on_closed(const MHD_Connection* connection);

    /// Marks a request as whole; false when it was refused before.
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
