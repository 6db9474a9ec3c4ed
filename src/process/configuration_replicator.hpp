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

/// Replicates configuration documents between peers over their existing
/// connections: every message carries the sender's configuration position, and
/// a peer that is behind pulls the missing documents.
///
/// Peers are identified by strings chosen by the user of this class. Not
/// thread-safe.
class configuration_replicator final
{
public:
    using send_function =
        std::function<void(const std::string& peer, wire::envelope& message)>;

    configuration_replicator(configuration_store& store, send_function send);

    /// Writes the local position into a message.
    void write_position(wire::envelope& message) const;

    /// Records the position of a peer; pulls documents if the peer is ahead.
    void record_position(const std::string& peer,
                         const wire::configuration_position& position,
                         boot_clock::time_point now);

    /// Sends the documents that the peer asked for.
    void on_pull(const std::string& peer,
                 const wire::configuration_pull& message);

    /// Applies the documents of a peer. Returns whether the current
    /// configuration changed.
    bool on_push(const wire::configuration_push& message);

    /// Sends the local position to all peers known to be behind.
    void announce();

    /// Sends the local position to all known peers.
    void announce_to_all();

    void remove_peer(const std::string& peer);

private:
    void send_position(const std::string& peer);

    configuration_store& store_;
    send_function send_;
    absl::flat_hash_map<std::string, std::uint64_t> peers_; ///< their numbers
    boot_clock::time_point last_pull_;
};

} // namespace mangolink
