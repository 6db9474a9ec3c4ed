#pragma once

#include "base/clock.hpp"
#include "version/configuration.hpp"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>

namespace mangolink::wire
{
class configuration_position;
class configuration_pull;
class configuration_push;
class envelope;
} // namespace mangolink::wire

namespace mangolink
{

class configuration_store;

/// Exchanges configuration documents with peers over the links that exist
/// anyway: every message carries a position, and who is behind pulls.
///
/// Peers are named by text that the owner understands. Used by one thread.
class configuration_replicator final
{
public:
    using send_function =
        std::function<void(const std::string& peer, wire::envelope& message)>;

    configuration_replicator(configuration_store& store, send_function send);

    /// Writes the own position into a message.
    void write_position(wire::envelope& message) const;

    /// Notes the position of a peer; pulls when it is ahead.
    void record_position(const std::string& peer,
                         const wire::configuration_position& position,
                         boot_clock::time_point now);

    /// Answers a pull.
    void on_pull(const std::string& peer,
                 const wire::configuration_pull& message);

    /// Folds what a peer sent; returns whether a newer value is in force.
    bool on_push(const wire::configuration_push& message);

    /// Sends the own position to all peers known to be behind.
    void announce();

    /// Sends the own position to all known peers.
    void announce_to_all();

    /// Forgets a peer.
    void remove_peer(const std::string& peer);

private:
    void send_position(const std::string& peer);

    configuration_store& store_;
    send_function send_;
    absl::flat_hash_map<std::string, std::uint64_t> peers_; ///< their numbers
    boot_clock::time_point last_pull_;
};

} // namespace mangolink
