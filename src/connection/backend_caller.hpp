#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"

#include <memory>
#include <optional>

namespace mangolink
{

class backend_exchange;
class backend_pool;
class forward_protocol;
struct backend_server;

/// Makes calls of the system's own to backend servers and other processes, on
/// kept connections, each bounded by time. Used by one thread.
class backend_caller final
{
public:
    backend_caller(asio::io_context& io, const forward_protocol& protocol,
                   backend_pool& connections);

    /// Makes a call and returns the whole answer; nothing when none came.
    /// `running`, if not null, gets the exchange while it runs.
    asio::awaitable<std::optional<text_response>>
    call(std::shared_ptr<const backend_server> to, text_request request,
         milliseconds limit,
         std::weak_ptr<backend_exchange>* running = nullptr);

private:
    asio::io_context& io_;
    const forward_protocol& protocol_;
    backend_pool& connections_;
};

} // namespace mangolink
