#include "version/gateway_configuration.hpp"

namespace mangolink
{
namespace
{

/// Key of a route. Host names contain no spaces, so the key is unambiguous.
std::string route_key(std::string_view host, std::string_view prefix)
{
    std::string result(host);
    result += ' ';
    result += prefix;
    return result;
}

template <class Map>
typename Map::mapped_type find_or_null(const Map& map, std::string_view key)
{
    const auto found = map.find(std::string(key));
    return found == map.end() ? nullptr : found->second;
}

} // namespace

gateway_configuration::gateway_configuration(gateway_configuration_data data)
    : data_(std::move(data))
{
    for (const auto& route : data_.routes)
    {
        routes_[route_key(route.host, route.prefix)] = &route;
    }
    for (const auto& customer : customers())
    {
        customer_names_[customer.name] = &customer;
        for (const auto& key : customer.api_keys)
        {
            customers_[key] = &customer;
        }
    }
    for (const auto& service : data_.services)
    {
        services_[service.name] = &service;
    }
}

const std::vector<gateway_customer>& gateway_configuration::customers() const
{
    static const std::vector<gateway_customer> none;
    return data_.customers ? *data_.customers : none;
}

const gateway_route*
gateway_configuration::find_route(std::string_view host,
                                  std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos
                            : path.rfind('/', slash - 1))
    {
        const auto* route =
            find_or_null(routes_, route_key(host, path.substr(0, slash + 1)));
        if (route != nullptr)
        {
            return route;
        }
    }
    return nullptr;
}

const gateway_customer*
gateway_configuration::find_customer(std::string_view api_key) const
{
    return find_or_null(customers_, api_key);
}

const gateway_customer*
gateway_configuration::find_customer_named(std::string_view name) const
{
    return find_or_null(customer_names_, name);
}

const gateway_service*
gateway_configuration::find_service(std::string_view name) const
{
    return find_or_null(services_, name);
}

} // namespace mangolink
