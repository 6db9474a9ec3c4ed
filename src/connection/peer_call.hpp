#pragma once

#include "connection/asio_types.hpp"
#include "process/backend_server.hpp"

#include <memory>
#include <string>

namespace mangolink
{

struct peer;

/// Paths at which processes take messages of others.
constexpr const char* task_path = "/orders";
constexpr const char* release_path = "/releases";
constexpr const char* update_path = "/updates";

/// Describes another process as a server for calls to it.
std::shared_ptr<const backend_server> to_backend_server(const peer& one);

/// Returns a call to another process.
text_request peer_request(const peer& to, const char* path, std::string body);

} // namespace mangolink
