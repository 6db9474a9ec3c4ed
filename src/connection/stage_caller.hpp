#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "process/backend_server.hpp"
#include "request/stage_queue.hpp"
#include "request/stage_task.hpp"

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
struct named_load_report final
{
    std::string server;
    std::string zone;
    server_load_report load_report;
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
                 const std::shared_ptr<const stage_task>& task);

    /// Gives results up at a server, soon and many at a time.
    void enqueue_release(const std::string& server,
                         const std::vector<std::string>& handles);

    /// Returns the outlooks of all servers called from here.
    std::vector<named_load_report> load_reports();

    /// Returns whether pieces wait or are being made.
    bool busy() const;

    /// Takes a change of the servers that may be used.
    void servers_changed();

private:
    struct server_entry final
    {
        server_entry(std::shared_ptr<const backend_server> facts,
                     const stage_pool_parameters& figures)
            : server(std::move(facts)), started_ms(server->started_ms),
              queue(figures)
        {
        }
        std::shared_ptr<const backend_server> server; ///< null: gone
        std::uint64_t started_ms; ///< of the start that holds the results
        stage_queue queue;
        std::vector<std::string> results_to_free;
        bool processing_scheduled = false;
        bool release_scheduled = false;
        bool memory_query_pending = false;
        /// Held by each coroutine that refers to the row.
        std::shared_ptr<int> users = std::make_shared<int>();
        std::optional<asio::steady_timer>
            processing_timer; ///< at the end of avoidance

        /// Returns whether the server is gone and nothing refers to the row.
        bool is_removable() const;
    };
    struct call_result final
    {
        bool answered = false; ///< made or refused, not lost
        bool shed = false;
        std::vector<stage_item_answer> items;
    };

    using server_pointer = std::shared_ptr<const backend_server>;

    server_entry* find_or_add_entry(const std::string& server);
    void schedule_processing(server_entry& row);
    void process_queue(server_entry& row);
    bool has_alternative(const backend_server& server) const;
    void schedule_processing_after(server_entry& row, milliseconds time);
    static void return_items(const std::vector<waiting_item>& pieces,
                             stage_item_outcome end);
    asio::awaitable<void> make_call(server_entry& row,
                                    std::vector<waiting_item> pieces);
    asio::awaitable<call_result>
    exchange(server_pointer server, const std::vector<waiting_item>& pieces,
             milliseconds limit);
    void complete_items(server_entry& row,
                        const std::vector<waiting_item>& pieces,
                        const call_result& result);
    void log_call(const server_entry& row, std::size_t pieces,
                  milliseconds took, const call_result& result);
    asio::awaitable<void> release_results(server_entry& row);
    asio::awaitable<void> query_free_memory(server_entry& row);

    asio::io_context& io_;
    const forward_protocol& protocol_;
    gateway_state& state_;
    stage_router& router_;
    backend_caller& calls_;
    metrics_registry& metrics_;
    result_release release_;
    absl::flat_hash_map<std::string, std::unique_ptr<server_entry>> entries_;
};

} // namespace mangolink
