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

/// One listening address and where its connections lead.
struct proxy_route final
{
    std::string name;
    std::string listen; ///< host:port
    std::string to;     ///< host:port
};

/// TCP proxy that delays, slows, swallows and cuts, for tests.
///
/// Control: POST /rules takes a list of rules and closes what they cut, GET
/// /traffic shows the bytes passed by route and source.
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
    void transfer(connection& entry);
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
