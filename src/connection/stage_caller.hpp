#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "process/backend_server.hpp"
#include "request/stage_order.hpp"
#include "request/stage_queue.hpp"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

class backend_caller;
class forward_protocol;
class gateway_state;
class metrics_registry;
class stage_router;

/// Outlook of a server that this process makes the calls of.
struct named_outlook final
{
    std::string server;
    std::string zone;
    server_outlook outlook;
};

/// Makes the calls of stage servers: assembles the pieces of all orders for a
/// server, counts the room of its results and gives them up. Used by one
/// thread.
class stage_caller final
{
public:
    /// Gives up results that nobody wants, wherever they lie.
    using result_release = std::function<void(std::vector<std::string>)>;

    stage_caller(asio::io_context& io, const forward_protocol& protocol,
                 gateway_state& state, stage_router& router,
                 backend_caller& calls, metrics_registry& metrics,
                 result_release release);
    ~stage_caller();

    stage_caller(const stage_caller&) = delete;
    stage_caller& operator=(const stage_caller&) = delete;

    /// Queues pieces for a server's next call.
    void enqueue(const std::string& server,
                 const std::shared_ptr<const stage_order>& order);

    /// Gives results up at a server, soon and many at a time.
    void release_here(const std::string& server,
                      const std::vector<std::string>& handles);

    /// Returns the outlooks of all servers called from here.
    std::vector<named_outlook> outlooks();

    /// Returns whether pieces wait or are being made.
    bool busy() const;

    /// Takes a change of the servers that may be used.
    void servers_changed();

private:
    struct server_row final
    {
        server_row(std::shared_ptr<const backend_server> facts,
                   const stage_pool_parameters& figures)
            : server(std::move(facts)), started_ms(server->started_ms),
              queue(figures)
        {
        }
        std::shared_ptr<const backend_server> server; ///< null: gone
        std::uint64_t started_ms; ///< of the start that holds the results
        stage_queue queue;
        std::vector<std::string> to_free;
        bool pump_pending = false;
        bool free_pending = false;
        bool room_asked = false;
        /// Held by each coroutine that refers to the row.
        std::shared_ptr<int> users = std::make_shared<int>();
        std::optional<asio::steady_timer> wake; ///< at the end of avoidance

        /// Returns whether the server is gone and nothing refers to the row.
        bool rests() const;
    };
    struct call_result final
    {
        bool answered = false; ///< made or refused, not lost
        bool shed = false;
        std::vector<stage_item_answer> items;
    };

    using server_pointer = std::shared_ptr<const backend_server>;

    server_row* row_of(const std::string& server);
    void pump_soon(server_row& row);
    void pump(server_row& row);
    bool another_usable(const backend_server& server) const;
    void pump_after(server_row& row, milliseconds time);
    static void send_back(const std::vector<waiting_piece>& pieces,
                          stage_item_end end);
    asio::awaitable<void> make_call(server_row& row,
                                    std::vector<waiting_piece> pieces);
    asio::awaitable<call_result>
    exchange(server_pointer server, const std::vector<waiting_piece>& pieces,
             milliseconds limit);
    void end_pieces(server_row& row, const std::vector<waiting_piece>& pieces,
                    const call_result& result);
    void log_call(const server_row& row, std::size_t pieces, milliseconds took,
                  const call_result& result);
    asio::awaitable<void> free_results(server_row& row);
    asio::awaitable<void> ask_room(server_row& row);

    asio::io_context& io_;
    const forward_protocol& protocol_;
    gateway_state& state_;
    stage_router& router_;
    backend_caller& calls_;
    metrics_registry& metrics_;
    result_release release_;
    absl::flat_hash_map<std::string, std::unique_ptr<server_row>> rows_;
};

} // namespace mangolink
