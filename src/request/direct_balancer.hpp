#pragma once

#include "base/clock.hpp"
#include "process/backend_server.hpp"
#include "process/placement.hpp"
#include "request/prompt_work.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mangolink
{

/// Properties of a request that affect the choice of its server.
struct server_preferences final
{
    std::uint64_t affinity = 0; ///< hash of the shared prompt prefix; 0: none
    std::uint32_t shared_tokens = 0; ///< length of the shared prompt prefix
    /// Bytes of stage results that the server will read, by zone.
    absl::flat_hash_map<std::string, std::uint64_t> bytes_in_zone;
    std::vector<std::string> excluded; ///< ids of servers already tried
    /// Ids of servers with a rate limit that this process may use now.
    std::vector<std::string> limited;
    std::vector<std::string> cold; ///< ids of servers that are cold
    bool can_wait = true;          ///< has time to spare for a slow server
    std::size_t bytes = 0;         ///< size of the request body
    std::uint32_t own_tokens = 0;  ///< length of the prompt after the prefix
    milliseconds max_pause{0};     ///< accepted between events; 0: unknown
    /// The server is chosen by the prompts that servers have still to read.
    bool weighs_prompts = false;
};

/// Outcome of sending a request to a server, as far as it concerns the health
/// of the server.
enum class send_outcome : std::uint8_t
{
    served,
    shed,      ///< rejected for lack of capacity; did not run
    cancelled, ///< aborted for a reason unrelated to the server
    failed,    ///< connection lost, invalid answer or server error
    timed_out  ///< no answer in time
};

/// Load balancer for requests that are sent directly to a backend server.
///
/// Performs passive outlier detection: consecutive failures eject a server for
/// a time that grows exponentially, after which one request at a time probes
/// it. If all servers of a pool are ejected, the ejections are ignored. Servers
/// of about equal cost are used in turn. Requests with a long shared prompt
/// prefix prefer one server of the whole pool, and those with a short one
/// prefer one server of their zone, unless it is overloaded compared with the
/// mean. Servers with a rate limit, which few processes use, are preferred a
/// little by these.
///
/// If the request asks for it, its server is the one where its first event is
/// expected first, by the prompts that each server has still to read. Reading a
/// cached prefix again and pauses that a long prompt causes for the streams of
/// others count as waiting time, so that long prompts are spread over as many
/// servers as their load requires. Not thread-safe.
class direct_balancer final
{
public:
    using server_pointer = std::shared_ptr<const backend_server>;

    explicit direct_balancer(placement place);

    /// Returns the server with the lowest cost, or null when none is left.
    server_pointer choose(const std::vector<server_pointer>& servers,
                          const server_preferences& preferences,
                          boot_clock::time_point now);

    /// Returns the benefit of prefix affinity for a request, expressed as an
    /// equivalent waiting time of the caller.
    static milliseconds affinity_gain(const server_preferences& preferences);

    /// Records the start of a send.
    void send_started(const std::string& server);

    /// Records the outcome of a send and the time to its first byte.
    void send_ended(const std::string& server, send_outcome outcome,
                    milliseconds first_byte, boot_clock::time_point now);

    /// Returns the number of sends in flight to a server.
    std::uint32_t in_flight(const std::string& server) const;

    /// Returns whether a server is ejected.
    bool is_ejected(const std::string& server,
                    boot_clock::time_point now) const;

    /// Records that a request with a prompt is sent to a server, which the last
    /// call of choose() returned for it.
    sent_prompt prompt_sent(const backend_server& server,
                            const server_preferences& preferences,
                            boot_clock::time_point now);

    /// Returns the model of the prompts that servers have still to read.
    prompt_work& prompts() { return prompts_; }

    /// Removes the state of a server.
    void forget(const std::string& server);

private:
    struct server_record final
    {
        std::uint32_t in_flight = 0;
        std::uint32_t failures = 0;          ///< consecutive
        boot_clock::time_point last_failure; ///< last one that was counted
        boot_clock::time_point ejected_until;
        double first_byte_ms = 0;      ///< smoothed; 0: unknown
        std::uint64_t last_choice = 0; ///< sequence number; 0: never chosen
    };

    /// Aggregates of the candidates that the cost of each one depends on.
    struct pool_view final
    {
        double typical_ms = 0; ///< mean time to the first byte
        double mean_in_flight = 0;
        absl::flat_hash_set<absl::string_view> limited; ///< servers, by id
        absl::flat_hash_set<absl::string_view> cold;    ///< servers, by id
        /// Servers preferred for the shared prefix, of the pool and of each
        /// zone. Rendezvous hashing makes all processes choose the same ones.
        const backend_server* affinity_server = nullptr;
        absl::flat_hash_map<std::string, const backend_server*>
            affinity_server_in_zone;
    };

    /// What the last choice assumed about the chosen server.
    struct choice_record final
    {
        std::uint64_t start = 0; ///< hash of the server's id and start
        bool cached = false;     ///< the shared prefix of the request
    };

    /// Servers that are assumed to have the shared prefix of a request cached.
    struct prefix_servers final
    {
        const backend_server* first = nullptr;  ///< of the pool
        const backend_server* second = nullptr; ///< when the first is occupied
        const backend_server* in_zone = nullptr;
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

    /// Uses costs_, in which excluded servers are marked.
    server_pointer choose_by_prompts(const std::vector<server_pointer>& servers,
                                     const server_preferences& preferences,
                                     boot_clock::time_point now);
    prefix_servers
    find_prefix_servers(const std::vector<server_pointer>& servers,
                        const server_preferences& preferences) const;
    double cold_cost_ms(const server_preferences& preferences) const;
    double prompt_cost_ms(const backend_server& server,
                          const server_preferences& preferences,
                          const prefix_servers& prefix,
                          boot_clock::time_point now) const;
    double cached_fraction(const backend_server& server, std::uint64_t start,
                           const server_preferences& preferences,
                           const prefix_servers& prefix,
                           boot_clock::time_point now) const;
    server_pointer
    least_recent_of_lowest(const std::vector<server_pointer>& servers,
                           double lowest_cost) const;
    void mark_chosen(const backend_server& server, boot_clock::time_point now);

    placement place_;
    absl::flat_hash_map<std::string, server_record> records_;
    std::uint64_t choices_ = 0;
    absl::flat_hash_set<std::string> failing_; ///< ejected or probed, by id
    prompt_work prompts_;
    choice_record last_choice_;
    std::vector<double> costs_; ///< of the last choice; scratch space
    std::uint64_t tie_seed_;    ///< differs between processes
};

} // namespace mangolink
