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

/// Usual limit; connecting takes one round trip. A short one lets callers retry
/// an unreachable server often, so that the end of a network partition is
/// noticed soon.
constexpr milliseconds connect_limit{400};

milliseconds elapsed_since(boot_clock::time_point begin)
{
    return std::chrono::duration_cast<milliseconds>(boot_clock::now() - begin);
}

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
async_http_client::call(std::string target, milliseconds server_wait,
                        milliseconds latency_limit)
{
    result outcome;
    if (!connection_ || !connection_->clean())
    {
        const milliseconds usual = std::min(latency_limit, connect_limit);
        outcome.limit = connect_timeout_.limit(usual);
        outcome.error = co_await connect(usual);
        if (outcome.error)
        {
            co_return outcome;
        }
    }
    outcome.connected = true;
    outcome.limit = server_wait + response_timeout_.limit(latency_limit);
    const auto sent_at = boot_clock::now();
    const auto connection = connection_;
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, address_.text());
    memory_account memory(memory_, memory_holder::store_answer,
                          [connection] { connection->close(); });
    response_reader reader(connection->socket(), connection->buffer(),
                           response_limits, memory);
    bool timed_out = false;
    {
        const scoped_timeout timeout(context_, outcome.limit,
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
        outcome.limit = timed_out ? outcome.limit : milliseconds(0);
        outcome.received_bytes = reader.body().size();
        if (timed_out)
        {
            response_timeout_.record_timeout();
        }
        connection_.reset();
        co_return outcome;
    }
    const auto took = elapsed_since(sent_at);
    if (took >= server_wait) // otherwise an event ended the wait
    {
        response_timeout_.record_success(latency_limit, took - server_wait);
    }
    if (!reader.keep_alive())
    {
        connection_.reset();
    }
    outcome.answer = reader.release();
    co_return outcome;
}

asio::awaitable<error_code> async_http_client::connect(milliseconds usual_limit)
{
    auto fresh = std::make_shared<backend_connection>(context_);
    const auto begin = boot_clock::now();
    const error_code error =
        co_await fresh->connect(address_, connect_timeout_.limit(usual_limit));
    if (!error)
    {
        connect_timeout_.record_success(usual_limit, elapsed_since(begin));
    }
    else if (error == asio::error::timed_out)
    {
        connect_timeout_.record_timeout();
    }
    connection_ = error ? nullptr : std::move(fresh);
    co_return error;
}

} // namespace mangolink
