#pragma once

#include "connection/http_server.hpp"
#include "faultproxy/fault_rules.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace mangolink
{
class http_exchange;
}

namespace mangolink::bench
{

/// Listening address and the address its connections are forwarded to.
struct proxy_route final
{
    std::string name;
    std::string listen; ///< host:port
    std::string to;     ///< host:port
};

/// TCP proxy for tests that delays, throttles, discards and aborts traffic.
///
/// Control: POST /rules replaces the list of rules and closes the connections
/// that the new rules cut or reset, GET /traffic returns the bytes forwarded by
/// route and source.
class fault_proxy final
{
public:
    fault_proxy(const std::vector<proxy_route>& routes,
                const std::string& control, std::uint64_t seed);
    ~fault_proxy();

private:
    struct listener;
    struct connection;

    void on_control(const std::shared_ptr<http_exchange>& exchange);
    void run();
    void accept_from(const listener& from);
    void transfer(connection& proxied);
    void close_faulted_connections();
    int epoll_timeout_ms() const;
    std::string traffic() const;

    std::mutex mutex_;
    fault_rules rules_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<listener>> listeners_;
    std::vector<std::unique_ptr<connection>> connections_;
    std::map<std::string, std::uint64_t> forwarded_; ///< "route source": bytes
    int epoll_ = -1;
    bool stopping_ = false;
    std::thread thread_;
    std::unique_ptr<http_server> control_;
};

} // namespace mangolink::bench
