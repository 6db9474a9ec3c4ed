#pragma once

#include "connection/asio_types.hpp"

namespace mangolink
{

/// Removes the headers that concern only one connection (RFC 9110, 7.6.1),
/// those that the Connection header names, and the length of the body.
void remove_hop_by_hop_headers(http::fields& headers);

/// Returns the host without port, in lower case; empty when it is missing.
std::string host_without_port(const http::fields& headers);

} // namespace mangolink
