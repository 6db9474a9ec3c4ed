#include "connection/async_http_client.hpp"

#include "connection/backend_connection.hpp"
#include "connection/message_reader.hpp"
#include "connection/scoped_timeout.hpp"
#include "process/memory_account.hpp"

#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace mangolink
{
namespace
{

/// Values of the store have up to a megabyte, a third more when encoded, and
/// the response of a watch may contain several.
constexpr message_limits response_limits{16 * 1024, 16ULL * 1024 * 1024};

/// Connecting takes one round trip. The short timeout lets callers retry an
/// unreachable server often, so that the end of a network partition is noticed
/// soon.
constexpr milliseconds connect_limit{400};

} // namespace

std::string async_http_client::result::reason() const
{
    if (error != asio::error::timed_out || limit == milliseconds(0))
    {
        return error ? error.message()
                     : "status " + std::to_string(answer.result_int());
    }
    const auto limit_text = std::to_string(limit.count()) + " ms";
    return connected ? "timed out after " + limit_text + " with " +
                           std::to_string(received_bytes) + " bytes received"
                     : "timed out after " + limit_text + " while connecting";
}

async_http_client::async_http_client(asio::io_context& context,
                                     socket_address address,
                                     memory_budget& memory)
    : context_(context), address_(std::move(address)), memory_(memory)
{
}

async_http_client::~async_http_client() = default;

asio::awaitable<async_http_client::result>
async_http_client::call(std::string target, milliseconds limit)
{
    result outcome;
    if (!connection_ || !connection_->clean())
    {
        const milliseconds bounded = std::min(limit, connect_limit);
        outcome.error = co_await connect(bounded);
        if (outcome.error)
        {
            outcome.limit = bounded;
            co_return outcome;
        }
    }
    outcome.connected = true;
    const auto connection = connection_;
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, address_.text());
    memory_account memory(memory_, memory_holder::store_answer,
                          [connection] { connection->close(); });
    response_reader reader(connection->socket(), connection->buffer(),
                           response_limits, memory);
    bool timed_out = false;
    {
        const scoped_timeout timeout(context_, limit,
                                     [connection] { connection->close(); });
        co_await http::async_write(connection->socket(), request,
                                   redirect_to(outcome.error));
        if (!outcome.error)
        {
            outcome.error = co_await reader.read_rest();
        }
        timed_out = timeout.expired();
    }
    if (outcome.error)
    {
        outcome.error = memory.reclaimed() ? asio::error::no_memory
                        : timed_out        ? asio::error::timed_out
                                           : outcome.error;
        outcome.limit = timed_out ? limit : milliseconds(0);
        outcome.received_bytes = reader.body().size();
        connection_.reset();
        co_return outcome;
    }
    if (!reader.keep_alive())
    {
        connection_.reset();
    }
    outcome.answer = reader.release();
    co_return outcome;
}

asio::awaitable<error_code> async_http_client::connect(milliseconds limit)
{
    auto fresh = std::make_shared<backend_connection>(context_);
    const error_code error = co_await fresh->connect(address_, limit);
    connection_ = error ? nullptr : std::move(fresh);
    co_return error;
}

} // namespace mangolink
