#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/backend_caller.hpp"
#include "connection/stage_caller.hpp"
#include "process/peer_directory.hpp"
#include "request/stage_router.hpp"
#include "request/stage_task.hpp"

#include <memory>
#include <string>
#include <vector>

namespace mangolink
{

class backend_exchange;
class backend_pool;
class forward_protocol;
class gateway_state;
class memory_budget;
class metrics_registry;
struct gateway_settings;

/// Dispatches stage tasks to stage servers.
///
/// One process, the owner, batches the calls of a group of stage servers: all
/// of a pool in a zone, or a part if there are many. Calls are therefore full,
/// no server gets more than its memory can hold, and the owner chooses among
/// the servers by their exact load, while other processes know it from load
/// reports only. Tasks for servers of other owners are sent to those, which
/// have until the deadline of the request. If an owner becomes unresponsive or
/// its connection fails, the task goes to the next owner; an item may then be
/// executed twice. Used by one thread.
class stage_dispatcher final
{
public:
    stage_dispatcher(asio::io_context& io, const gateway_settings& settings,
                     const forward_protocol& protocol, gateway_state& state,
                     peer_directory& peers, backend_pool& connections,
                     answer_listener listener, memory_budget& memory,
                     metrics_registry& metrics);
    ~stage_dispatcher();

    stage_dispatcher(const stage_dispatcher&) = delete;
    stage_dispatcher& operator=(const stage_dispatcher&) = delete;

    /// Selects a server for the task and has its items executed.
    void submit(std::shared_ptr<const stage_task> task);

    /// Accepts a task of another process for this server or another one of its
    /// group, whichever is expected to finish first.
    void accept(const std::string& server,
                const std::shared_ptr<const stage_task>& task);

    /// Returns the expected execution time of items of a service.
    milliseconds expected_time(const std::string& service,
                               const stage_demand& demand) const;

    /// Schedules the release of results on any server; releases are batched.
    void release(const std::vector<std::string>& handles);

    /// Stores a load report that another process sent for a server.
    void update_load_report(const std::string& server,
                            const server_load_report& load_report);

    /// Returns the load reports of the servers that this process owns.
    std::vector<named_load_report> load_reports();

    /// Drops the load report of a removed server.
    void forget(const std::string& server) { router_.forget(server); }

    /// Updates state after a change of the servers or of the peers. Aborts
    /// tasks sent to peers that are gone.
    void topology_changed();

    stage_caller& caller() { return caller_; }

    /// Returns whether items are queued or running in this process.
    bool busy() const { return caller_.busy(); }

private:
    using server_pointer = std::shared_ptr<const backend_server>;

    /// Task sent to its owner that is not answered yet.
    struct open_task final
    {
        peer owner;
        std::weak_ptr<backend_exchange> exchange;
    };

    const peer* owner_of(const backend_server& server) const;
    stage_demand demand_of(const stage_task& task) const;
    asio::awaitable<void> send_task(std::shared_ptr<const stage_task> task,
                                    server_pointer server, peer owner);
    bool handle_reply(const stage_task& task,
                      const std::optional<text_response>& answer);
    asio::awaitable<void> route_releases();
    asio::awaitable<void> send_release(peer owner, std::string server,
                                       std::vector<std::string> handles);

    asio::io_context& io_;
    const forward_protocol& protocol_;
    gateway_state& state_;
    peer_directory& peers_;
    metrics_registry& metrics_;
    stage_router router_;
    backend_caller calls_; ///< of peers
    backend_caller server_calls_;
    stage_caller caller_;
    std::vector<std::shared_ptr<open_task>> open_tasks_;
    std::vector<std::string> to_release_;
    bool release_pending_ = false;
};

} // namespace mangolink
