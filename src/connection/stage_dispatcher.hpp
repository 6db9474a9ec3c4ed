#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/forward_protocol.hpp"
#include "request/stage_pool_scheduler.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mangolink
{

class backend_pool;
class backend_exchange;
class event_counter;
class gateway_state;
class metrics_registry;
struct gateway_settings;

/// Request whose stages are made; told of each piece.
class stage_client
{
public:
    virtual ~stage_client() = default;

    /// Returns what a call says of a piece; nothing when it is not wanted.
    virtual std::optional<stage_call_item> call_item(stage_piece piece) = 0;

    /// Takes the end of a piece. A result that is not wanted is given up by
    /// the client.
    virtual void piece_ended(stage_piece piece, stage_item_answer answer) = 0;
};

/// Makes the calls of all stage pools and gives up results that are no longer
/// needed. Used by one thread.
class stage_dispatcher final
{
public:
    stage_dispatcher(asio::io_context& io, const gateway_settings& settings,
                     const forward_protocol& protocol, gateway_state& state,
                     backend_pool& connections, metrics_registry& metrics);
    ~stage_dispatcher();

    /// Names a request; the number must not be in use.
    void enroll(std::uint64_t run, std::weak_ptr<stage_client> client);

    /// Forgets a request and its waiting pieces.
    void withdraw(std::uint64_t run);

    /// Queues a piece of an enrolled request.
    void add(const std::string& service, waiting_piece piece);

    /// Returns how long a new piece of a service would take.
    milliseconds expected_time(const std::string& service);

    /// Gives results up, soon and many at a time.
    void release(const std::vector<std::string>& handles);

    /// Starts the calls that are due; call it after changes of the directory.
    void pump_all();

private:
    struct pool final
    {
        std::string service;
        stage_pool_scheduler scheduler;
        asio::steady_timer timer;
        event_counter& calls;
        event_counter& pieces;
        event_counter& failures;
    };
    struct call_result final
    {
        bool answered = false; ///< made or refused, not lost
        bool shed = false;
        std::optional<server_load> load;
        std::vector<stage_item_answer> items;
    };

    pool* pool_of(const std::string& service);
    void pump(pool& row);
    void arm(pool& row);
    asio::awaitable<void> make_call(std::string service, planned_call call);
    asio::awaitable<call_result> exchange(const planned_call& call,
                                          std::vector<stage_call_item> items);
    void end_pieces(pool& row, const planned_call& call,
                    const call_result& result);
    asio::awaitable<void> flush_releases();
    asio::awaitable<void>
    release_at(std::shared_ptr<const backend_server> server,
               std::vector<std::string> handles);

    asio::io_context& io_;
    const gateway_settings& settings_;
    const forward_protocol& protocol_;
    gateway_state& state_;
    backend_pool& connections_;
    metrics_registry& metrics_;
    absl::flat_hash_map<std::string, std::unique_ptr<pool>> pools_;
    absl::flat_hash_map<std::uint64_t, std::weak_ptr<stage_client>> clients_;
    absl::flat_hash_map<std::string, std::vector<std::string>> to_release_;
    bool release_pending_ = false;
};

} // namespace mangolink
