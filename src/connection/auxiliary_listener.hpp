#pragma once

#include "connection/asio_types.hpp"

#include <functional>

namespace mangolink
{

class memory_budget;

/// Answers the short requests of a load balancer or of operators at an address
/// of its own. Used by one thread.
class auxiliary_listener final
{
public:
    using handler = std::function<text_response(const text_request&)>;

    /// Serves until `io` stops; `acceptor` must be open.
    auxiliary_listener(asio::io_context& io, tcp::acceptor acceptor,
                       handler handle, memory_budget& memory);

    auxiliary_listener(const auxiliary_listener&) = delete;
    auxiliary_listener& operator=(const auxiliary_listener&) = delete;

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(tcp::socket socket);

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    handler handle_;
    memory_budget& memory_;
};

} // namespace mangolink
