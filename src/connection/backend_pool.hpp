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

/// Pool of persistent connections to backend servers.
///
/// A connection carries one exchange at a time and is reused only while it is
/// clean and has been idle for less than the server's idle limit. A server
/// resets connections beyond its limit, so this process opens no more than its
/// share of them. Used by one thread.
class backend_pool final
{
public:
    using connection_pointer = std::shared_ptr<backend_connection>;

    /// Result of acquire().
    struct lease final
    {
        connection_pointer connection; ///< null on failure
        error_code error;
    };

    /// Returns the limit of connections from this process to a server.
    using connection_limit_function =
        std::function<std::size_t(const backend_server&)>;

    backend_pool(asio::io_context& context,
                 connection_limit_function connection_limit,
                 metrics_registry& metrics);
    ~backend_pool();

    /// Returns an idle connection, or opens a new one within the time limit.
    asio::awaitable<lease> acquire(std::shared_ptr<const backend_server> server,
                                   milliseconds limit);

    /// Keeps a connection to a start of a server for reuse for the server's
    /// keep-alive time, by default the one stated last on it, or for a default
    /// time if there is none.
    void release(std::shared_ptr<const backend_server> server,
                 connection_pointer connection,
                 std::optional<milliseconds> keep_alive);

    /// Closes the idle connections of a removed server.
    void forget(const std::string& server);

    /// Closes connections whose idle time is over.
    void close_idle(boot_clock::time_point now);

    std::size_t idle() const;

private:
    struct idle_connection final
    {
        /// Returns whether the connection leads to this start of the server.
        bool leads_to(const backend_server& other) const;

        std::shared_ptr<const backend_server> server;
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
