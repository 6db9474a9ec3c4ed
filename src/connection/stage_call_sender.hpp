#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/forward_protocol.hpp"
#include "request/send_permit.hpp"
#include "request/stage_task.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace mangolink
{

class backend_caller;
class backend_exchange;
struct backend_server;
struct waiting_item;

/// Outcome of one call of a stage server.
struct stage_call_result final
{
    bool answered = false; ///< executed or refused
    bool shed = false;
    bool unconnected = false; ///< the server accepted no connection in time
    bool repeated = false;    ///< a copy of an earlier answer came instead
    std::vector<stage_item_answer> items;
    std::optional<server_load> load; ///< told with the answer
};

/// Sends one call to a stage server. An overdue call is ended only when another
/// server can take its place. Used by one thread.
class stage_call_sender final
{
public:
    using server_pointer = std::shared_ptr<const backend_server>;

    /// Returns whether another server can be used instead.
    using alternative_check = std::function<bool(const backend_server&)>;

    stage_call_sender(asio::io_context& io, const forward_protocol& protocol,
                      backend_caller& calls, alternative_check has_alternative);

    /// Sends the items as one call; `limit` is the time after which it is
    /// overdue.
    asio::awaitable<stage_call_result>
    send(server_pointer server, const std::vector<waiting_item>& items,
         send_permit permit, milliseconds limit);

private:
    /// Ends a call that is overdue as soon as another server can be used.
    asio::awaitable<void>
    replace_overdue(std::shared_ptr<std::weak_ptr<backend_exchange>> running,
                    server_pointer server, milliseconds limit);

    asio::io_context& io_;
    const forward_protocol& protocol_;
    backend_caller& calls_;
    alternative_check has_alternative_;
};

} // namespace mangolink
