#include "connection/backend_pool.hpp"

#include "base/metrics.hpp"
#include "connection/backend_connection.hpp"
#include "process/backend_server.hpp"

namespace mangolink
{
namespace
{

/// Reuse ends this much before the server's own idle limit, so that a request
/// does not cross the server's close.
constexpr milliseconds idle_limit_margin{700};

/// Idle time of a connection whose server stated none.
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
    auto& list = idle_[server->id];
    while (!list.empty())
    {
        const idle_connection last = std::move(list.back());
        list.pop_back();
        if (last.until > now && last.connection->clean())
        {
            reused_.add();
            result.connection = last.connection;
            co_return result;
        }
    }
    count_pointer& slot = open_[server->id];
    slot = slot ? slot : std::make_shared<std::size_t>(0);
    if (*slot >= connection_limit_(*server))
    {
        result.error = asio::error::no_buffer_space;
        failed_.add();
        co_return result;
    }
    ++*slot;
    // The connection counts until its last user lets go of it.
    const connection_pointer fresh(
        new backend_connection(context_),
        [count = slot](backend_connection* connection)
        {
            --*count;
            delete connection;
        });
    result.error = co_await fresh->connect(server->address, limit);
    if (result.error)
    {
        failed_.add();
        co_return result;
    }
    opened_.add();
    result.connection = fresh;
    co_return result;
}

void backend_pool::release(const std::string& server,
                           connection_pointer connection,
                           std::optional<milliseconds> keep_alive)
{
    const milliseconds idle =
        keep_alive.value_or(default_idle) - idle_limit_margin;
    if (idle > milliseconds(0))
    {
        idle_[server].push_back(
            {std::move(connection), boot_clock::now() + idle});
    }
}

void backend_pool::forget(const std::string& server)
{
    idle_.erase(server);
    open_.erase(server); // connections in use keep their own count
}

void backend_pool::close_idle(boot_clock::time_point now)
{
    // Servers without idle connections leave the map: releases after
    // forget() may have put them there again.
    absl::erase_if(idle_,
                   [now](auto& row)
                   {
                       std::erase_if(row.second,
                                     [now](const idle_connection& idle)
                                     { return idle.until <= now; });
                       return row.second.empty();
                   });
}

std::size_t backend_pool::idle() const
{
    std::size_t count = 0;
    for (const auto& [server, list] : idle_)
    {
        count += list.size();
    }
    return count;
}

} // namespace mangolink
