#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/forward_protocol.hpp"
#include "process/peer_directory.hpp"
#include "request/stage_order.hpp"
#include "request/stage_queue.hpp"
#include "request/stage_router.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mangolink
{

class backend_exchange;
class backend_pool;
class gateway_state;
class metrics_registry;
struct gateway_settings;

/// Outlook of a server that this process makes the calls of.
struct named_outlook final
{
    std::string server;
    server_outlook outlook;
};

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

    /// Chooses a server for the pieces and has them made.
    void submit(std::shared_ptr<const stage_order> order);

    /// Queues pieces for a server's next call, here.
    void enqueue(const std::string& server,
                 std::shared_ptr<const stage_order> order);

    /// Returns how long pieces of a service would take.
    milliseconds expected_time(const std::string& service,
                               const stage_demand& demand) const;

    /// Gives results up, soon and many at a time.
    void release(const std::vector<std::string>& handles);

    /// Gives results up at a server that this process makes the calls of.
    void release_here(const std::string& server,
                      const std::vector<std::string>& handles);

    /// Takes what another process tells of a server.
    void take_outlook(const std::string& server, const server_outlook& outlook);

    /// Returns the outlooks of the servers that this process calls.
    std::vector<named_outlook> outlooks();

    /// Returns whether pieces wait or are being made.
    bool busy() const;

    /// Starts the calls that are due; call it after changes of the directory.
    void pump_all();

private:
    struct server_row final
    {
        std::shared_ptr<const backend_server> server;
        stage_queue queue;
        std::vector<std::string> to_free;
        bool pump_pending = false;
        bool free_pending = false;
        bool room_asked = false;
        std::optional<asio::steady_timer> wake; ///< at the end of avoidance
    };
    struct call_result final
    {
        bool answered = false; ///< made or refused, not lost
        bool shed = false;
        std::vector<stage_item_answer> items;
    };

    /// Order that another process has and has not answered.
    struct open_order final
    {
        peer maker;
        std::weak_ptr<backend_exchange> exchange;
    };

    using server_pointer = std::shared_ptr<const backend_server>;

    const stage_pool_figures* figures_of(const std::string& service) const;
    stage_demand demand_of(const stage_order& order) const;
    server_row* row_of(const std::string& server);
    void pump_soon(server_row& row);
    void pump(server_row& row);
    bool another_usable(const backend_server& server) const;
    void pump_after(server_row& row, milliseconds time);
    void send_back(std::vector<waiting_piece> pieces, stage_item_end end);
    asio::awaitable<void> make_call(server_row& row,
                                    std::vector<waiting_piece> pieces);
    asio::awaitable<call_result>
    exchange(server_pointer server, const std::vector<waiting_piece>& pieces,
             milliseconds limit);
    void end_pieces(server_row& row, const std::vector<waiting_piece>& pieces,
                    const call_result& result);
    void log_call(const server_row& row, std::size_t pieces, milliseconds took,
                  const call_result& result);
    asio::awaitable<void> order_from(std::shared_ptr<const stage_order> order,
                                     server_pointer server, peer maker);
    asio::awaitable<void> route_releases();
    asio::awaitable<void> release_at(peer maker, std::string server,
                                     std::vector<std::string> handles);
    asio::awaitable<void> free_results(server_row& row);
    asio::awaitable<void> ask_room(server_row& row);
    /// Makes a call and returns the whole body, or nothing.
    /// `running`, if not null, gets the exchange while it runs.
    asio::awaitable<std::optional<text_response>>
    call(server_pointer to, text_request request, milliseconds limit,
         std::weak_ptr<backend_exchange>* running = nullptr);

    asio::io_context& io_;
    const gateway_settings& settings_;
    const forward_protocol& protocol_;
    gateway_state& state_;
    peer_directory& peers_;
    backend_pool& connections_;
    metrics_registry& metrics_;
    stage_router router_;
    absl::flat_hash_map<std::string, std::unique_ptr<server_row>> rows_;
    std::vector<std::shared_ptr<open_order>> open_orders_;
    std::vector<std::string> to_release_;
    bool release_pending_ = false;
};

/// Paths at which processes take messages of others.
constexpr const char* order_path = "/orders";
constexpr const char* release_path = "/releases";

} // namespace mangolink
