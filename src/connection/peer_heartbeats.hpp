#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"

#include <absl/random/random.h>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace mangolink
{

namespace wire
{
class gateway_heartbeat;
} // namespace wire

class event_counter;
class metrics_registry;
class peer_directory;
class prompt_guard;
class prompt_work;
class server_limit_guard;
class stage_dispatcher;
enum class heartbeat_kind : std::uint8_t;
struct named_load_report;
struct server_prompt_work;
struct socket_address;

/// Sends and receives heartbeat datagrams between processes of the same role,
/// which report liveness, the load of stage servers, prompts that may crash
/// servers, rate limits of servers and, within a region, prompts that servers
/// have still to read. Lost datagrams are not retransmitted,
/// since the next one supersedes them. Used by one thread.
class peer_heartbeats final
{
public:
    /// Starts immediately. `changed` is called after a peer joined or left.
    peer_heartbeats(asio::io_context& io, peer_directory& peers,
                    stage_dispatcher& stages, prompt_guard& prompts,
                    server_limit_guard& limits, prompt_work& prompt_work,
                    std::vector<std::string> seeds,
                    std::function<void()> changed, metrics_registry& metrics);
    ~peer_heartbeats();

    peer_heartbeats(const peer_heartbeats&) = delete;
    peer_heartbeats& operator=(const peer_heartbeats&) = delete;

    /// Replaces the seed addresses.
    void set_seeds(std::vector<std::string> seeds);

    /// Sends a heartbeat to all peers immediately, after a state change.
    void send_to_all();

    /// The same after a change that may be one of many: at once, or with one of
    /// the next heartbeats.
    void send_to_all_soon();

private:
    asio::awaitable<void> receive_loop();
    asio::awaitable<void> send_loop();

    /// Returns the time between two heartbeats.
    milliseconds interval() const;
    /// `delayed`: the datagram may have waited while the process did not run.
    void process_datagram(std::size_t size, bool delayed);
    void merge_prompts(const wire::gateway_heartbeat& heartbeat);
    void send(std::uint64_t heartbeat_number);
    void tell_prompt(const server_prompt_work& work);
    void process_prompt(wire::gateway_heartbeat& message);
    void send_datagram(const socket_address& address, const std::string& bytes);
    wire::gateway_heartbeat
    compose(const std::vector<named_load_report>& load_reports);
    void add_seed_addresses(boot_clock::time_point now);

    asio::io_context& io_;
    peer_directory& peers_;
    stage_dispatcher& stages_;
    prompt_guard& prompts_;
    server_limit_guard& limits_;
    prompt_work& prompt_work_;
    std::vector<std::string> seeds_;
    std::function<void()> changed_;
    event_counter& sent_;
    event_counter& received_;
    event_counter& invalid_;
    std::uint64_t heartbeat_number_ = 0; ///< heartbeats sent so far
    std::uint64_t
        first_regular_;        ///< the ones before it carry all that is known
    bool all_waiting_ = false; ///< for the next heartbeat to all
    boot_clock::time_point last_to_all_;
    heartbeat_kind kind_; ///< of the last one
    boot_clock::time_point last_receipt_;
    absl::BitGen random_;
    asio::ip::udp::socket socket_;
    std::array<char, 64 * 1024> buffer_{};
};

} // namespace mangolink
