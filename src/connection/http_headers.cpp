#include "connection/http_headers.hpp"

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <cctype>
#include <string>
#include <vector>

namespace mangolink
{

void remove_hop_by_hop_headers(http::fields& headers)
{
    std::vector<std::string> named;
    const auto range = headers.equal_range(http::field::connection);
    for (auto it = range.first; it != range.second; ++it)
    {
        for (const auto& token : http::token_list(it->value()))
        {
            named.emplace_back(token);
        }
    }
    for (const auto& name : named)
    {
        headers.erase(name);
    }
    for (const auto field :
         {http::field::connection, http::field::keep_alive,
          http::field::proxy_connection, http::field::te, http::field::trailer,
          http::field::transfer_encoding, http::field::upgrade,
          http::field::proxy_authenticate, http::field::proxy_authorization,
          http::field::expect, http::field::content_length})
    {
        headers.erase(field);
    }
}

std::string host_without_port(const http::fields& headers)
{
    std::string host(headers[http::field::host]);
    host = host.substr(0, host.find(':'));
    std::transform(host.begin(), host.end(), host.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return host;
}

} // namespace mangolink
