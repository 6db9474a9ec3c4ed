#pragma once

#include "base/clock.hpp"
#include "connection/accepted_request.hpp"
#include "process/server_limit_table.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace mangolink
{

namespace wire
{
class gateway_heartbeat;
} // namespace wire

class backend_directory;
class event_counter;
class metrics_registry;
class peer_directory;
class server_rate_limiter;
struct backend_server;
struct received_head;

/// Applies the rate limits of servers in a process: takes them from answers and
/// from other processes, tells them on, and logs and counts its decisions. Used
/// by one thread.
class server_limit_guard final
{
public:
    /// `on_named` is called after an answer to this process changed a limit.
    /// The references must outlive this object.
    server_limit_guard(server_rate_limiter& limiter,
                       const backend_directory& directory,
                       metrics_registry& metrics,
                       std::function<void()> on_named);

    server_limit_guard(const server_limit_guard&) = delete;
    server_limit_guard& operator=(const server_limit_guard&) = delete;

    /// Takes the limit from an answer of a server.
    void record_answer(const received_head& head);

    /// Adds what a heartbeat tells; `delayed`: its ages may be wrong.
    void merge(const wire::gateway_heartbeat& heartbeat, bool delayed);

    /// Adds to a heartbeat what other processes need. `all`: also older limits.
    void write(wire::gateway_heartbeat& heartbeat, bool all);

    /// Applies changes of the processes and of the demand; called periodically.
    void update(const peer_directory& peers);

    /// Returns the refusal of a request for which no server has a permit, and
    /// counts it.
    refusal refuse(milliseconds retry_delay);

    /// Returns the limits in force as JSON, for operators.
    std::string status_text() const;

    /// Returns the number of servers that have a limit.
    std::size_t size() const;

private:
    void report(server_limit_change change, const server_limit_news& news,
                const char* source);
    const backend_server* find_server(std::uint64_t server_start) const;

    server_rate_limiter& limiter_;
    const backend_directory& directory_;
    std::function<void()> on_named_;
    event_counter& named_;
    event_counter& ended_;
    event_counter& unreadable_;
    event_counter& refusals_;
};

} // namespace mangolink
