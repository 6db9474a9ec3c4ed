#pragma once

#include "connection/asio_types.hpp"
#include "process/backend_server.hpp"

#include <memory>
#include <string>

namespace mangolink
{

struct peer;

/// HTTP paths of the messages between processes.
constexpr const char* task_path = "/orders";
constexpr const char* release_path = "/releases";
constexpr const char* update_path = "/updates";

/// Returns a server entry by which a peer can be called.
std::shared_ptr<const backend_server> to_backend_server(const peer& one);

/// Returns an HTTP request to a peer.
text_request peer_request(const peer& to, const char* path, std::string body);

} // namespace mangolink
