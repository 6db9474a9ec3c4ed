#include "connection/admin_server.hpp"

#include "connection/admin_responses.hpp"
#include "connection/http_exchange.hpp"

#include <nlohmann/json.hpp>

namespace mangolink
{
namespace
{

constexpr std::string_view scheme = "Bearer ";

/// Compares in constant time for texts of equal length, so that timing does not
/// reveal where they differ.
bool same_secret(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
    {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
    {
        difference |= static_cast<unsigned char>(a[i] ^ b[i]);
    }
    return difference == 0;
}

} // namespace

admin_server::admin_server(const std::string& address, std::string key,
                           std::vector<admin_route> routes)
    : key_(std::move(key)), routes_(std::move(routes)),
      server_({.address = address},
              [this](const std::shared_ptr<http_exchange>& exchange)
              { dispatch(exchange); })
{
}

void admin_server::dispatch(
    const std::shared_ptr<http_exchange>& exchange) const
{
    if (exchange->too_large())
    {
        exchange->respond(
            result_code_response(result_code::body_too_large, ""));
        return;
    }
    if (!authorized(*exchange))
    {
        exchange->respond(result_code_response(result_code::unauthorized, ""));
        return;
    }
    bool path_known = false;
    for (const auto& route : routes_)
    {
        if (route.path != exchange->request().path)
        {
            continue;
        }
        path_known = true;
        if (route.method == exchange->request().method)
        {
            route.handle(exchange);
            return;
        }
    }
    exchange->respond(result_code_response(
        path_known ? result_code::method_not_allowed : result_code::not_found,
        exchange->request().path));
}

bool admin_server::authorized(const http_exchange& exchange) const
{
    std::string_view value = exchange.request().header("Authorization");
    if (!value.starts_with(scheme))
    {
        return false;
    }
    value.remove_prefix(scheme.size());
    return same_secret(value, key_);
}

} // namespace mangolink
