#pragma once

#include "base/clock.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct MHD_Connection;
struct MHD_Daemon;

namespace mangolink
{

class connection_timeout_monitor;
class http_exchange;
struct http_response;

/// Settings of an http_server.
struct http_server_settings final
{
    std::string address; ///< IPv4 "host:port"; port 0 picks a free one
    std::uint32_t threads = 1;
    std::uint32_t max_connections = 4000;
    std::size_t max_body = 1024 * 1024;       ///< bytes
    std::size_t connection_memory = 8 * 1024; ///< bytes
    std::chrono::seconds idle_limit{60};
    milliseconds read_limit{0}; ///< for receiving a request; 0: none
    std::function<http_response()>
        make_timeout_response{}; ///< sent after read_limit
};

/// HTTP/1.1 server that runs on its own threads.
class http_server final
{
public:
    /// Called on a server thread when a request was received completely.
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    /// Starts listening; throws std::runtime_error on failure.
    http_server(http_server_settings settings, handler on_request);

    /// Stops immediately. Every exchange must have been answered before.
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Returns the port it listens on.
    std::uint16_t port() const;

    /// Returns how many requests are being received or answered.
    std::size_t active() const { return active_; }

    /// Closes the listening socket; open connections are kept.
    void stop_accepting();

private:
    struct callbacks;

    http_server_settings settings_;
    handler on_request_;
    MHD_Daemon* daemon_ = nullptr;
    std::unique_ptr<connection_timeout_monitor> timeout_monitor_;
    int listener_ = -1;
    std::atomic<std::size_t> active_{0};
};

} // namespace mangolink
