#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"
#include "connection/backend_caller.hpp"
#include "process/peer_directory.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <string>

namespace mangolink
{

class backend_exchange;
class event_counter;
class gateway_state_updater;
class gateway_state;
class metrics_registry;
class store_reader_activation;
struct update_response;

/// Gets updates from a process of the zone that reads the platform store, so
/// that the load on the store does not grow with the number of processes.
///
/// The age of received state is counted from the time the request was sent, so
/// a delay or pause on either side makes the state older, never newer. If there
/// is no such process, or it does not respond or its state is too old, this
/// process reads the store itself. Used by one thread.
class update_follower final
{
public:
    update_follower(asio::io_context& io, gateway_state& state,
                    gateway_state_updater& updater, const peer_directory& peers,
                    store_reader_activation& activation, backend_caller calls,
                    metrics_registry& metrics);

    /// Aborts a pending request if its peer was restarted or is gone.
    void peers_changed();

private:
    asio::awaitable<void> run();
    const peer* choose_source(boot_clock::time_point now) const;
    asio::awaitable<bool> request_update(peer from);
    bool apply(const update_response& response, boot_clock::time_point sent_at);
    void activate_own_reader(const std::string& reason);

    asio::io_context& io_;
    gateway_state& state_;
    gateway_state_updater& updater_;
    const peer_directory& peers_;
    store_reader_activation& activation_;
    backend_caller calls_;
    event_counter& succeeded_;
    event_counter& failed_;
    absl::flat_hash_map<std::string, boot_clock::time_point> ejected_until_;
    std::optional<peer> source_; ///< peer of the current request
    std::weak_ptr<backend_exchange> exchange_;
};

} // namespace mangolink
