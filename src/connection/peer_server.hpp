#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"

#include <memory>

namespace mangolink
{

class memory_budget;
class stage_dispatcher;
class update_source;
struct socket_address;

/// HTTP server for the stage tasks, releases and update requests of peers.
/// Used by one thread.
class peer_server final
{
public:
    /// Starts accepting connections immediately.
    peer_server(asio::io_context& io, const socket_address& address,
                stage_dispatcher& stages, update_source& updates,
                memory_budget& memory);
    ~peer_server();

    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

private:
    class remote_task;

    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket);
    asio::awaitable<void> run_task(std::shared_ptr<tcp::socket> socket,
                                   const std::string& body,
                                   text_response& response);
    static asio::awaitable<void>
    watch_for_close(std::shared_ptr<tcp::socket> socket,
                    std::shared_ptr<remote_task> task);

    asio::io_context& io_;
    stage_dispatcher& stages_;
    update_source& updates_;
    memory_budget& memory_;
    tcp::acceptor acceptor_;
};

} // namespace mangolink
