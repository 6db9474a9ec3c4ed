#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

class backend_connection;
class event_counter;
class metrics_registry;
struct backend_server;

/// Keeps open connections to backend servers for reuse.
///
/// A connection serves one exchange at a time and is reused only while it is
/// clean and younger than the server's idle limit. A server resets what it
/// gets beyond its own limit, so no more are opened than this process's share.
/// Used by one thread.
class backend_pool final
{
public:
    using connection_pointer = std::shared_ptr<backend_connection>;

    /// What acquire() gives.
    struct lease final
    {
        connection_pointer connection; ///< null when none could be had
        error_code error;
    };

    /// Returns how many connections a server takes from this process.
    using connection_limit_function =
        std::function<std::size_t(const backend_server&)>;

    backend_pool(asio::io_context& context,
                 connection_limit_function connection_limit,
                 metrics_registry& metrics);
    ~backend_pool();

    /// Returns an idle connection, or a new one within the limit.
    asio::awaitable<lease> acquire(std::shared_ptr<const backend_server> server,
                                   milliseconds limit);

    /// Keeps a connection for reuse for as long as the server said, or a
    /// default when it said nothing.
    void release(const std::string& server, connection_pointer connection,
                 std::optional<milliseconds> keep_alive);

    /// Closes the idle connections of a server that is gone.
    void forget(const std::string& server);

    /// Closes connections that were idle for too long.
    void close_idle(boot_clock::time_point now);

    std::size_t idle() const;

private:
    struct idle_connection final
    {
        connection_pointer connection;
        boot_clock::time_point until;
    };

    using count_pointer = std::shared_ptr<std::size_t>;

    asio::io_context& context_;
    connection_limit_function connection_limit_;
    event_counter& opened_;
    event_counter& reused_;
    event_counter& failed_;
    absl::flat_hash_map<std::string, std::vector<idle_connection>> idle_;
    absl::flat_hash_map<std::string, count_pointer> open_;
};

} // namespace mangolink
