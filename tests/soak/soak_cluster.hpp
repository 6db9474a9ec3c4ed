#pragma once

#include "faultproxy/fault_proxy.hpp"
#include "soak/soak_record.hpp"
#include "support/test_cluster.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace mangolink::test
{

/// Returns the path prefix of the route for a kind.
const char* path_of(soak_kind kind);

/// Returns the request of a record.
text_request request_of(const soak_record& record);

constexpr unsigned first_stage_items = 2;
constexpr unsigned second_stage_items = 3;

/// Part of a prompt that crashes every engine.
constexpr const char* deadly_part = "dead01";

/// Number of plain servers and of engines.
constexpr std::size_t plain_servers = 3;
constexpr std::size_t engines = 6;

/// Zone of the last server of each service; the others are in zone z1. Streams
/// that may not be resumed are bound to the region of z1.
constexpr const char* second_zone = "z2";

/// Requests a second that a cold plain server takes.
constexpr double cold_rate = 10;

/// Number of events in every stream.
constexpr unsigned stream_events = 8;

/// Gateway processes with stand-ins for the store and the servers. A fault
/// proxy carries the connections to the store and to the backend servers.
class soak_cluster final
{
public:
    soak_cluster(std::uint64_t seed, unsigned gateways);

    test_cluster& platform() { return cluster_; }
    std::size_t gateways() const { return gateways_; }
    gateway_process& gateway(std::size_t index)
    {
        return cluster_.gateway(index);
    }

    /// Returns the plain servers, followed by the engines.
    const std::vector<backend_standin*>& servers() const { return servers_; }
    const std::vector<stage_server_standin*>& stage_servers() const
    {
        return stage_servers_;
    }

    /// Returns whether a server is in the second zone.
    bool in_second_zone(const std::string& server) const
    {
        return second_zone_servers_.contains(server);
    }

    /// Returns the links that rules can name: "store-N" and the server ids.
    const std::vector<std::string>& links() const { return links_; }

    /// Replaces the rules of the fault proxy, at most one for each link.
    void set_rules(const std::map<std::string, nlohmann::json>& rules);

    /// Revokes the current key and issues another.
    void rotate_key();

    /// Returns the current key.
    std::string key() const;

    /// Returns the revocation time of each revoked key.
    std::map<std::string, boot_clock::time_point> revocation_times() const;

private:
    std::string add_proxied_link(const std::string& name,
                                 const std::string& to);
    void add_routes();

    test_cluster cluster_;
    std::vector<backend_standin*> servers_;
    std::vector<stage_server_standin*> stage_servers_;
    std::set<std::string> second_zone_servers_;
    std::vector<std::string> links_;
    std::vector<bench::proxy_route> routes_;
    std::unique_ptr<bench::fault_proxy> proxy_;
    socket_address control_;
    std::size_t gateways_;
    mutable std::mutex mutex_;
    unsigned key_number_ = 0;
    std::map<std::string, boot_clock::time_point> revocation_times_;
};

} // namespace mangolink::test
