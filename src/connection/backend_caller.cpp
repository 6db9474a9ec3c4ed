#include "connection/backend_caller.hpp"

#include "connection/backend_connection.hpp"
#include "connection/backend_exchange.hpp"
#include "connection/backend_pool.hpp"
#include "connection/scoped_timeout.hpp"
#include "process/backend_server.hpp"

namespace mangolink
{
namespace
{

/// Connect timeout. A round trip between regions takes about 25 ms.
constexpr milliseconds connect_limit{300};

/// Several times the largest answer, a snapshot of a thousand servers.
constexpr std::size_t max_answer_bytes = 2 * 1024 * 1024;

} // namespace

backend_caller::backend_caller(asio::io_context& io,
                               const forward_protocol& protocol,
                               backend_pool& connections,
                               answer_listener listener, memory_budget& memory)
    : io_(io), protocol_(protocol), connections_(connections),
      listener_(std::move(listener)), memory_(memory)
{
}

asio::awaitable<std::optional<text_response>>
backend_caller::call(std::shared_ptr<const backend_server> to,
                     text_request request, send_permit permit,
                     milliseconds limit,
                     std::weak_ptr<backend_exchange>* running,
                     error_code* connect_error, answer_check is_own)
{
    const auto lease = co_await connections_.acquire(to, connect_limit);
    if (!lease.connection)
    {
        if (connect_error != nullptr)
        {
            *connect_error = lease.error;
        }
        co_return std::nullopt;
    }
    auto current = std::make_shared<backend_exchange>(
        to, lease.connection, std::move(permit), protocol_, listener_, memory_,
        std::move(request), std::string());
    if (running != nullptr)
    {
        *running = current;
    }
    const scoped_timeout guard(io_, limit, [current] { current->abort(); });
    text_response answer;
    bool read = co_await current->begin();
    if (read)
    {
        read = co_await current->read_rest(answer.body(), max_answer_bytes);
    }
    if (!read)
    {
        current->abort();
        co_return std::nullopt;
    }
    answer.base() = current->head();
    answer_history& history = current->connection()->history();
    const bool own = !is_own || is_own(answer, history);
    if (own && !history.full() && current->reusable())
    {
        connections_.release(to, current->connection(),
                             current->metadata().keep_alive);
    }
    else
    {
        current->abort();
    }
    co_return answer;
}

} // namespace mangolink
