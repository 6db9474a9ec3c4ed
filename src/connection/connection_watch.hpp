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

struct http_answer;

/// Limits of a connection's time.
struct connection_watch_settings final
{
    milliseconds read_limit{0}; ///< for a request to arrive; 0: any time
    milliseconds idle_limit{0}; ///< between two requests
    std::function<http_answer()> slow_answer; ///< after the read limit
};

/// Ends connections whose request takes too long to arrive, however steadily
/// its bytes trickle in. The caller is told by the slow answer.
///
/// Any thread may call any member.
class connection_watch final
{
public:
    explicit connection_watch(connection_watch_settings settings);
    ~connection_watch();

    connection_watch(const connection_watch&) = delete;
    connection_watch& operator=(const connection_watch&) = delete;

    /// Follow a connection from its acceptance to its end.
    void opened(const MHD_Connection* connection, int descriptor);
    void receiving(const MHD_Connection* connection);
    void answered(const MHD_Connection* connection);
    void closed(const MHD_Connection* connection);

    /// Marks a request as whole; false when it was refused before.
    bool received(const MHD_Connection* connection);

private:
    enum class phase : std::uint8_t
    {
        receiving,
        answering,
        idle,
        refused
    };

    struct row final
    {
        int descriptor = -1;
        phase state = phase::receiving;
        boot_clock::time_point since;
    };

    void set(const MHD_Connection* connection, phase state);
    void sweep();
    void run();

    connection_watch_settings settings_;
    std::mutex mutex_;
    absl::flat_hash_map<const MHD_Connection*, row> rows_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace mangolink
