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
class metrics_registry;
struct gateway_settings;

/// Has the pieces of stages made.
///
/// The calls of a stage server are assembled by one process, so that they
/// are full and the server never gets more than it can hold; orders for
/// other servers go to the processes responsible for them. A process that
/// does not answer is replaced by this one: a piece may be made twice.
/// Used by one thread.
class stage_dispatcher final
{
public:
    stage_dispatcher(asio::io_context& io, const gateway_settings& settings,
                     const forward_protocol& protocol, gateway_state& state,
                     peer_directory& peers, backend_pool& connections,
                     metrics_registry& metrics);
    ~stage_dispatcher();

    stage_dispatcher(const stage_dispatcher&) = delete;
    stage_dispatcher& operator=(const stage_dispatcher&) = delete;

    /// Chooses a server for the pieces and has them made.
    void submit(std::shared_ptr<const stage_task> task);

    /// Returns how long pieces of a service would take.
    milliseconds expected_time(const std::string& service,
                               const stage_demand& demand) const;

    /// Gives results up, wherever they lie, soon and many at a time.
    void release(const std::vector<std::string>& handles);

    /// Takes what another process tells of a server.
    void update_load_report(const std::string& server,
                            const server_load_report& load_report);

    /// Returns the outlooks of the servers that this process is responsible
    /// for.
    std::vector<named_load_report> load_reports();

    /// Forgets what was told of a server that is gone.
    void forget(const std::string& server) { router_.forget(server); }

    /// Takes a change of the servers or of the other processes.
    void topology_changed();

    /// Returns what makes the calls of this process.
    stage_caller& caller() { return caller_; }

    /// Returns whether pieces wait here or are being made.
    bool busy() const { return caller_.busy(); }

private:
    using server_pointer = std::shared_ptr<const backend_server>;

    /// Order that another process has and has not answered.
    struct open_task final
    {
        peer owner;
        std::weak_ptr<backend_exchange> exchange;
    };

    stage_demand demand_of(const stage_task& task) const;
    asio::awaitable<void> send_task(std::shared_ptr<const stage_task> task,
                                    server_pointer server, peer owner);
    milliseconds task_timeout(const stage_task& task,
                              const backend_server& server) const;
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
    backend_caller calls_;
    stage_caller caller_;
    std::vector<std::shared_ptr<open_task>> open_tasks_;
    std::vector<std::string> to_release_;
    bool release_pending_ = false;
};

} // namespace mangolink
