#include "connection/backend_pool.hpp"

#include "base/metrics.hpp"
#include "connection/backend_connection.hpp"
#include "process/backend_server.hpp"

namespace mangolink
{
namespace
{

/// Reuse ends this much before the server's idle limit, so that no request is
/// sent while the server closes the connection.
constexpr milliseconds idle_limit_margin{700};

/// Keep-alive time if the server stated none.
constexpr milliseconds default_idle{4000};

} // namespace

backend_pool::backend_pool(asio::io_context& context,
                           connection_limit_function connection_limit,
                           metrics_registry& metrics)
    : context_(context), connection_limit_(std::move(connection_limit)),
      opened_(metrics.counter("mangolink_backend_connections_total",
                              "how=\"opened\"")),
      reused_(metrics.counter("mangolink_backend_connections_total",
                              "how=\"reused\"")),
      failed_(metrics.counter("mangolink_backend_connections_total",
                              "how=\"failed\""))
{
}

backend_pool::~backend_pool() = default;

asio::awaitable<backend_pool::lease>
backend_pool::acquire(std::shared_ptr<const backend_server> server,
                      milliseconds limit)
{
    lease result;
    const auto now = boot_clock::now();
    auto& connections = idle_[server->id];
    while (!connections.empty())
    {
        const idle_connection last = std::move(connections.back());
        connections.pop_back();
        if (last.leads_to(*server) && last.until > now &&
            last.connection->end_idle())
        {
            reused_.add();
            result.connection = last.connection;
            co_return result;
        }
    }
    count_pointer& open_count = open_[server->id];
    open_count = open_count ? open_count : std::make_shared<std::size_t>(0);
    if (*open_count >= connection_limit_(*server))
    {
        result.error = asio::error::no_buffer_space;
        failed_.add();
        co_return result;
    }
    ++*open_count;
    // The connection is counted until its last reference is released.
    const connection_pointer new_connection(
        new backend_connection(context_),
        [count = open_count](backend_connection* connection)
        {
            --*count;
            delete connection;
        });
    result.error = co_await new_connection->connect(server->address, limit);
    if (result.error)
    {
        failed_.add();
        co_return result;
    }
    opened_.add();
    result.connection = new_connection;
    co_return result;
}

void backend_pool::release(std::shared_ptr<const backend_server> server,
                           connection_pointer connection,
                           std::optional<milliseconds> keep_alive)
{
    if (keep_alive)
    {
        connection->set_keep_alive(*keep_alive);
    }
    const milliseconds idle =
        connection->keep_alive().value_or(default_idle) - idle_limit_margin;
    if (idle > milliseconds(0))
    {
        connection->begin_idle();
        auto& connections = idle_[server->id];
        connections.push_back({std::move(server), std::move(connection),
                               boot_clock::now() + idle});
    }
}

bool backend_pool::idle_connection::leads_to(const backend_server& other) const
{
    return server->started_ms == other.started_ms &&
           server->address == other.address;
}

void backend_pool::forget(const std::string& server)
{
    idle_.erase(server);
    open_.erase(server); // connections in use keep their own count
}

void backend_pool::close_idle(boot_clock::time_point now)
{
    // Also removes servers without idle connections: a release after forget()
    // may have added the server again.
    absl::erase_if(idle_,
                   [now](auto& entry)
                   {
                       std::erase_if(entry.second,
                                     [now](const idle_connection& idle)
                                     { return idle.until <= now; });
                       return entry.second.empty();
                   });
}

std::size_t backend_pool::idle() const
{
    std::size_t count = 0;
    for (const auto& [server, connections] : idle_)
    {
        count += connections.size();
    }
    return count;
}

} // namespace mangolink
