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

/// Limits on the requests and the connections of callers.
struct caller_limits final
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 1024 * 1024;
    milliseconds header_timeout{5000};
    milliseconds idle_timeout{30'000};
};

/// A customer and its API keys.
struct gateway_customer final
{
    std::string name;
    std::vector<std::string> api_keys;
    std::optional<std::uint32_t> priority; ///< overrides that of the route
    /// Regions that its requests may be served in; nothing: all.
    std::optional<std::vector<std::string>> allowed_regions;
};

/// Contents of one version of the gateway configuration.
struct gateway_configuration_data final
{
    std::uint64_t version = 0;
    std::vector<gateway_route> routes;
    std::vector<gateway_service> services;
    /// Nothing: requests need no API key. Empty: no key is valid.
    std::optional<std::vector<gateway_customer>> customers;
    caller_limits limits;
};

/// One version of the gateway configuration, indexed for request routing.
/// Immutable.
class gateway_configuration final
{
public:
    explicit gateway_configuration(gateway_configuration_data data);

    gateway_configuration(const gateway_configuration&) = delete;
    gateway_configuration& operator=(const gateway_configuration&) = delete;

    std::uint64_t version() const { return data_.version; }
    const caller_limits& limits() const { return data_.limits; }

    /// Returns whether requests must carry the API key of a customer, also if
    /// there is none.
    bool requires_api_keys() const { return data_.customers.has_value(); }

    /// Returns the route with the longest prefix of the path, or null. The host
    /// must be in lower case and without a port.
    const gateway_route* find_route(std::string_view host,
                                    std::string_view path) const;

    /// Returns the customer with this name, or null.
    const gateway_customer* find_customer_named(std::string_view name) const;

    /// Returns the customer with this API key, or null.
    const gateway_customer* find_customer(std::string_view api_key) const;

    /// Returns the service with this name, or null.
    const gateway_service* find_service(std::string_view name) const;

    const std::vector<gateway_route>& routes() const { return data_.routes; }
    const std::vector<gateway_customer>& customers() const;
    const std::vector<gateway_service>& services() const
    {
        return data_.services;
    }
    std::size_t route_count() const { return data_.routes.size(); }

private:
    gateway_configuration_data data_;
    absl::flat_hash_map<std::string, const gateway_route*> routes_;
    absl::flat_hash_map<std::string, const gateway_customer*> customers_;
    absl::flat_hash_map<std::string, const gateway_customer*> customer_names_;
    absl::flat_hash_map<std::string, const gateway_service*> services_;
};

} // namespace mangolink
