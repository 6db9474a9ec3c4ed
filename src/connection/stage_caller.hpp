#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/stage_call_sender.hpp"
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
enum class sender_role : std::uint8_t;

/// Load report of a stage server that this process calls.
struct named_load_report final
{
    std::shared_ptr<const backend_server> server;
    server_load_report load_report;
};

/// Calls stage servers: batches the items of all tasks for a server into calls,
/// tracks the memory used by its results and releases them. Used by one thread.
class stage_caller final
{
public:
    /// Releases unwanted results on whichever servers hold them.
    using result_release = std::function<void(std::vector<std::string>)>;

    /// Returns whether this process makes the calls of a server.
    using owner_check = std::function<bool(const backend_server&)>;

    stage_caller(asio::io_context& io, const forward_protocol& protocol,
                 gateway_state& state, stage_router& router,
                 backend_caller& calls, metrics_registry& metrics,
                 result_release release, owner_check owns);
    ~stage_caller();

    stage_caller(const stage_caller&) = delete;
    stage_caller& operator=(const stage_caller&) = delete;

    /// Queues the items of a task for the server's next call.
    void enqueue(const std::string& server,
                 const std::shared_ptr<const stage_task>& task);

    /// Schedules the release of results at a server; releases are batched.
    void enqueue_release(const std::string& server,
                         const std::vector<std::string>& handles);

    /// Returns the load reports of all servers that this process calls, without
    /// those of a group that had no items yet.
    std::vector<named_load_report> load_reports();

    /// Returns whether items are queued or a call is running.
    bool busy() const;

    /// Updates the entries after a change of the server directory.
    void servers_changed();

    /// Takes over the free memory that another process reports for a server,
    /// since it makes the server's calls.
    void record_free_memory(const std::string& server, std::uint64_t bytes);

private:
    struct server_entry final
    {
        server_entry(std::shared_ptr<const backend_server> known_server,
                     const stage_pool_parameters& pool_parameters)
            : server(std::move(known_server)), started_ms(server->started_ms),
              queue(pool_parameters)
        {
        }
        std::shared_ptr<const backend_server> server; ///< null: removed
        std::uint64_t started_ms; ///< start of the server that holds results
        stage_queue queue;
        std::vector<std::string> results_to_free;
        bool used = false; ///< had items, or took some of its group
        bool processing_scheduled = false;
        bool release_scheduled = false;
        bool memory_query_pending = false;
        /// Held by each coroutine that refers to the entry.
        std::shared_ptr<int> users = std::make_shared<int>();
        /// Resumes processing when the ejection of the server ends.
        std::optional<asio::steady_timer> processing_timer;

        /// Applies what the directory says of the server now; null: removed.
        void update_server(std::shared_ptr<const backend_server> current);

        /// Returns whether the server is removed and the entry unreferenced.
        bool is_removable() const;
    };
    using server_pointer = std::shared_ptr<const backend_server>;

    /// Returns the entry of a server as the directory has it now; null if the
    /// server is null or of no pool.
    server_entry* find_or_add_entry(const server_pointer& server);

    /// Returns whether the servers of a group share their waiting items.
    bool shares_backlogs() const;

    /// Lets the servers of the group of an entry share its waiting items.
    void join_group(server_entry& entry);

    /// Applies an action to the entries with the same backlog, without this
    /// one.
    template <typename Action>
    void for_each_sibling(const server_entry& entry, Action action);

    /// Lets the idle servers with the same backlog process it.
    void wake_siblings(const server_entry& entry);

    /// Returns the items that wait for this server as unsent, unless another
    /// server with the same backlog can process them.
    void give_up_waiting(server_entry& entry);

    /// Processes the queue after the handlers that are pending now, so that one
    /// call can hold all tasks that they add.
    void schedule_processing(server_entry& entry);
    asio::awaitable<void> process_queue(server_entry& entry);
    struct next_call final
    {
        std::vector<waiting_item> items;
        std::optional<send_permit> permit; ///< set if there are items
    };
    next_call take_next_call(server_entry& entry);

    /// Returns the load of a server, which is ejected while it is held and busy
    /// longer while its rate is limited.
    server_load_report load_report_of(server_entry& entry) const;

    /// Returns a permit for a call to a server with an entry, or nothing now.
    std::optional<send_permit> take_permit(server_entry& entry);

    /// Returns how much longer the server is busy because its rate is limited.
    milliseconds limit_delay(server_entry& entry,
                             const server_load_report& report,
                             boot_clock::time_point now) const;
    asio::awaitable<void> wait_for_hold(server_entry& entry);
    sender_role role_for(const backend_server& server) const;
    /// Makes the current load known to the router.
    void update_router(server_entry& entry, const std::string& server);
    bool has_alternative(const backend_server& server) const;
    void schedule_processing_after(server_entry& entry, milliseconds time);
    static void return_items(const std::vector<waiting_item>& items,
                             stage_item_outcome end);
    asio::awaitable<void> make_call(server_entry& entry, server_pointer server,
                                    next_call call);
    void complete_items(server_entry& entry,
                        const std::vector<waiting_item>& items,
                        const stage_call_result& result);
    void log_call(const server_entry& entry, std::size_t items,
                  milliseconds duration, const stage_call_result& result);
    asio::awaitable<void> release_results(server_entry& entry);
    void query_memory(server_entry& entry);
    asio::awaitable<void> query_free_memory(server_entry& entry);

    asio::io_context& io_;
    const forward_protocol& protocol_;
    gateway_state& state_;
    stage_router& router_;
    backend_caller& calls_;
    metrics_registry& metrics_;
    result_release release_;
    owner_check owns_;
    stage_call_sender sender_;
    absl::flat_hash_map<std::string, std::unique_ptr<server_entry>> entries_;
};

} // namespace mangolink
