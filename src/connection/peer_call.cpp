#include "connection/peer_call.hpp"

#include "process/peer_directory.hpp"

namespace mangolink
{

std::shared_ptr<const backend_server> to_backend_server(const peer& one)
{
    auto server = std::make_shared<backend_server>();
    server->id = one.name + "/" + one.process_incarnation.text();
    server->address = one.address;
    server->zone = one.zone;
    return server;
}

text_request peer_request(const peer& to, const char* path, std::string body)
{
    text_request request(http::verb::post, path, 11);
    request.set(http::field::host, to.address.text());
    request.set(http::field::content_type, "application/x-protobuf");
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

} // namespace mangolink
