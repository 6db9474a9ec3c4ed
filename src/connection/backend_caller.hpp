#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/backend_exchange.hpp"
#include "request/send_permit.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace mangolink
{

class answer_history;
class backend_pool;
class forward_protocol;
class memory_budget;
struct backend_server;

/// Makes internal calls, each with a timeout, to backend servers and peers over
/// pooled connections. Used by one thread.
class backend_caller final
{
public:
    /// `listener` gets the answers of backend servers; null for peers.
    backend_caller(asio::io_context& io, const forward_protocol& protocol,
                   backend_pool& connections, answer_listener listener,
                   memory_budget& memory);

    /// Returns whether a complete answer proves by its contents that it is that
    /// of the call, and not a late copy of an earlier one on the connection.
    using answer_check =
        std::function<bool(const text_response&, answer_history&)>;

    /// Makes a call and returns the complete answer, or nothing on failure. If
    /// `running` is not null, it refers to the exchange while that is running.
    /// If `connect_error` is not null, it is set if no connection was opened.
    /// If `is_own` is not null, the connection is used again only if it returns
    /// true: otherwise the call's own answer may still come.
    asio::awaitable<std::optional<text_response>>
    call(std::shared_ptr<const backend_server> to, text_request request,
         send_permit permit, milliseconds limit,
         std::weak_ptr<backend_exchange>* running = nullptr,
         error_code* connect_error = nullptr, answer_check is_own = nullptr);

private:
    asio::io_context& io_;
    const forward_protocol& protocol_;
    backend_pool& connections_;
    answer_listener listener_;
    memory_budget& memory_;
};

} // namespace mangolink
