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

/// Follows a process of the zone that reads the platform, so that calls to
/// the platform do not grow with the processes.
///
/// What another process tells counts from the moment at which it was asked,
/// so a delay or a pause of either side makes knowledge older, never newer.
/// While there is no such process, or the one asked does not answer or is
/// itself not sure, this process reads the platform. Used by one thread.
class update_follower final
{
public:
    update_follower(asio::io_context& io, gateway_state& state,
                    gateway_state_updater& updater, const peer_directory& peers,
                    store_reader_activation& activation, backend_caller calls,
                    metrics_registry& metrics);

    /// Takes a change of the other processes.
    void peers_changed();

private:
    asio::awaitable<void> run();
    const peer* choose(boot_clock::time_point now) const;
    asio::awaitable<bool> request_update(peer from);
    bool take(const update_response& answer, boot_clock::time_point asked);
    void activate_own_reader(const std::string& why);

    asio::io_context& io_;
    gateway_state& state_;
    gateway_state_updater& updater_;
    const peer_directory& peers_;
    store_reader_activation& activation_;
    backend_caller calls_;
    event_counter& taken_;
    event_counter& failed_;
    absl::flat_hash_map<std::string, boot_clock::time_point> ejected_until_;
    std::optional<peer> source_; ///< asked now
    std::weak_ptr<backend_exchange> exchange_;
};

} // namespace mangolink
