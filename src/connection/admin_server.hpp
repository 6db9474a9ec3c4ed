#pragma once

#include "connection/http_server.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mangolink
{

class http_exchange;
struct http_response;

/// One resource of the administration API.
struct admin_route final
{
    std::string method;
    std::string path;
    std::function<void(std::shared_ptr<http_exchange>)> handle;
};

/// Serves the administration API to clients that present the key.
class admin_server final
{
public:
    /// Starts listening immediately. The routes are fixed afterwards.
    admin_server(const std::string& address, std::string key,
                 std::vector<admin_route> routes);

    std::uint16_t port() const { return server_.port(); }

private:
    void dispatch(const std::shared_ptr<http_exchange>& exchange) const;
    bool authorized(const http_exchange& exchange) const;

    std::string key_;
    std::vector<admin_route> routes_;
    http_server server_;
};

} // namespace mangolink
