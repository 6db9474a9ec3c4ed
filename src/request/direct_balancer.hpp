#pragma once

#include "base/clock.hpp"
#include "process/backend_server.hpp"
#include "process/placement.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mangolink
{

/// What a request wants of the server that is chosen for it.
struct server_preferences final
{
    std::uint64_t affinity = 0;      ///< hash of what it shares; 0: nothing
    std::uint32_t shared_tokens = 0; ///< length of what it shares
    /// Bytes that the server will read from each zone.
    absl::flat_hash_map<std::string, std::uint64_t> bytes_in_zone;
    std::vector<std::string> excluded; ///< ids already tried
    std::size_t bytes = 0;             ///< of the request itself
};

/// How a send to a server ended, for the judgement of the server.
enum class send_outcome : std::uint8_t
{
    served,
    shed,      ///< no room; proven not to have run
    cancelled, ///< given up for a reason that is not the server's
    failed,    ///< connection lost, garbled, or its own failure
    timed_out  ///< no answer in time
};

/// Chooses servers for requests that go straight to them.
///
/// Judges servers by what requests got: failures in a row set a server aside
/// for a time that grows, and one request at a time tries it again. A pool is
/// never emptied. Servers that are about as good take turns. Requests that
/// share a long prompt prefix go to one server of all, those that share a short
/// one to one of their zone, as long as it has no more than its share of the
/// work. Used by one thread.
class direct_balancer final
{
public:
    using server_pointer = std::shared_ptr<const backend_server>;

    explicit direct_balancer(placement place);

    /// Returns the server to send to, or null when there is none.
    server_pointer choose(const std::vector<server_pointer>& servers,
                          const server_preferences& preferences,
                          boot_clock::time_point now);

    /// Returns what it is worth to send the request to the server that
    /// choose() prefers, as time a caller would wait instead.
    static milliseconds affinity_gain(const server_preferences& preferences);

    /// Counts a send that began.
    void send_started(const std::string& server);

    /// Takes the end of a send and the time to its first byte.
    void send_ended(const std::string& server, send_outcome outcome,
                    milliseconds first_byte, boot_clock::time_point now);

    /// Returns the sends in flight to a server.
    std::uint32_t in_flight(const std::string& server) const;

    /// Returns whether a server is set aside.
    bool is_ejected(const std::string& server,
                    boot_clock::time_point now) const;

    /// Forgets a server that is gone.
    void forget(const std::string& server);

private:
    struct server_record final
    {
        std::uint32_t in_flight = 0;
        std::uint32_t failures = 0; ///< in a row
        boot_clock::time_point ejected_until;
        double first_byte_ms = 0;      ///< smoothed; 0: unknown
        std::uint64_t last_choice = 0; ///< grows with each choice of any server
    };

    /// What a choice compares servers with.
    struct pool_view final
    {
        double typical_ms = 0; ///< to the first byte
        double mean_in_flight = 0;
        /// Servers that requests with the wish's prefix share: of all, and of
        /// each zone. The highest hash wins, so every process finds the same.
        const backend_server* affinity_server = nullptr;
        absl::flat_hash_map<std::string, const backend_server*>
            affinity_server_in_zone;
    };

    const server_record* find_record(const std::string& server) const;
    std::vector<server_pointer>
    candidates_of(const std::vector<server_pointer>& servers,
                  const server_preferences& preferences,
                  boot_clock::time_point now) const;
    pool_view make_pool_view(const std::vector<server_pointer>& candidates,
                             const server_preferences& preferences) const;
    double cost(const backend_server& server,
                const server_preferences& preferences,
                const pool_view& pool) const;
    static double affinity(const backend_server& server,
                           const server_preferences& preferences,
                           const pool_view& pool);
    double distance_cost_ms(const std::string& zone, std::size_t bytes) const;

    placement place_;
    absl::flat_hash_map<std::string, server_record> records_;
    std::uint64_t choices_ = 0;
};

} // namespace mangolink
