#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"

#include <memory>

namespace mangolink
{

class stage_dispatcher;
struct socket_address;

/// Takes stage orders and releases of other processes. Used by one thread.
class order_server final
{
public:
    /// Starts to serve at once.
    order_server(asio::io_context& io, const socket_address& address,
                 stage_dispatcher& stages);
    ~order_server();

    order_server(const order_server&) = delete;
    order_server& operator=(const order_server&) = delete;

private:
    class remote_order;

    asio::awaitable<void> accept_loop();
    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket);
    asio::awaitable<void> make_order(std::shared_ptr<tcp::socket> socket,
                                     const std::string& body,
                                     text_response& response);
    static asio::awaitable<void> watch(std::shared_ptr<tcp::socket> socket,
                                       std::shared_ptr<remote_order> order);

    asio::io_context& io_;
    stage_dispatcher& stages_;
    tcp::acceptor acceptor_;
};

} // namespace mangolink
