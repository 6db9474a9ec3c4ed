#pragma once

#include "version/gateway_route.hpp"
#include "version/gateway_service.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// Bounds on what a caller may send and how long it may take or stay idle.
struct caller_limits final
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 1024 * 1024;
    milliseconds header_timeout{5000};
    milliseconds idle_timeout{30'000};
};

/// Customer and the API keys that stand for it.
struct gateway_customer final
{
    std::string name;
    std::vector<std::string> api_keys;
    std::optional<std::uint32_t> priority; ///< goes before the route's
};

/// Everything that one configuration version holds.
struct gateway_configuration_data final
{
    std::uint64_t version = 0;
    std::vector<gateway_route> routes;
    std::vector<gateway_service> services;
    std::vector<gateway_customer> customers;
    caller_limits limits;
};

/// One version of the configuration of a gateway, indexed for requests.
/// Immutable.
class gateway_configuration final
{
public:
    explicit gateway_configuration(gateway_configuration_data data);

    gateway_configuration(const gateway_configuration&) = delete;
    gateway_configuration& operator=(const gateway_configuration&) = delete;

    std::uint64_t version() const { return data_.version; }
    const caller_limits& limits() const { return data_.limits; }

    /// Returns whether requests need the key of a customer.
    bool has_customers() const { return !data_.customers.empty(); }

    /// Returns the route with the longest prefix that begins the path, or
    /// null. The host is without a port, in lower case.
    const gateway_route* find_route(std::string_view host,
                                    std::string_view path) const;

    /// Returns the customer that holds the key, or null.
    const gateway_customer* find_customer(std::string_view api_key) const;

    /// Returns the service of this name, or null.
    const gateway_service* find_service(std::string_view name) const;

    const std::vector<gateway_service>& services() const
    {
        return data_.services;
    }
    std::size_t route_count() const { return data_.routes.size(); }

private:
    gateway_configuration_data data_;
    absl::flat_hash_map<std::string, const gateway_route*> routes_;
    absl::flat_hash_map<std::string, const gateway_customer*> customers_;
    absl::flat_hash_map<std::string, const gateway_service*> services_;
};

} // namespace mangolink
