#pragma once

#include "connection/asio_types.hpp"

namespace mangolink
{

/// Removes the hop-by-hop headers (RFC 9110, 7.6.1), the headers listed in the
/// Connection header, and Content-Length.
void remove_hop_by_hop_headers(http::fields& headers);

/// Returns the Host header without port, in lower case; empty when missing.
std::string host_without_port(const http::fields& headers);

} // namespace mangolink
