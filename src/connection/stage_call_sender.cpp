#include "connection/stage_call_sender.hpp"

#include "connection/backend_caller.hpp"
#include "connection/backend_exchange.hpp"
#include "connection/failure_log.hpp"
#include "connection/forward_protocol.hpp"
#include "connection/listening_socket.hpp"
#include "request/answer_history.hpp"
#include "request/stage_queue.hpp"

namespace mangolink
{
namespace
{

/// A sound server may be silent for this much longer than a call takes.
constexpr milliseconds silence_allowance{1500};

/// Interval at which another server is sought for an overdue call.
constexpr milliseconds overdue_interval{50};

/// Returns the handles of the results that items were answered with.
std::vector<std::string> results_of(const std::vector<stage_item_answer>& items)
{
    std::vector<std::string> handles;
    for (const auto& item : items)
    {
        if (item.end == stage_item_outcome::made)
        {
            handles.push_back(item.handle);
        }
    }
    return handles;
}

} // namespace

stage_call_sender::stage_call_sender(asio::io_context& io,
                                     const forward_protocol& protocol,
                                     backend_caller& calls,
                                     alternative_check has_alternative)
    : io_(io), protocol_(protocol), calls_(calls),
      has_alternative_(std::move(has_alternative))
{
}

asio::awaitable<stage_call_result>
stage_call_sender::send(server_pointer server,
                        const std::vector<waiting_item>& items,
                        send_permit permit, milliseconds limit)
{
    std::vector<stage_call_item> call_items;
    const auto now = boot_clock::now();
    for (const auto& item : items)
    {
        const auto& task = *item.task;
        call_items.push_back(
            {task.request_id,
             {task.stage, item.index},
             std::chrono::duration_cast<milliseconds>(task.deadline - now),
             task.item_key,
             task.inputs});
    }
    stage_call_result result;
    text_request request = protocol_.stage_call(*server, call_items);
    const auto running = std::make_shared<std::weak_ptr<backend_exchange>>();
    asio::co_spawn(io_, replace_overdue(running, server, limit),
                   failure_log("overdue stage call"));
    // Only the handle of a result tells which call an answer belongs to.
    const backend_caller::answer_check is_own =
        [&](const text_response& answer, answer_history& history)
    {
        if (answer.result() == http::status::ok)
        {
            result.items =
                protocol_.read_stage_answer(answer.body(), call_items.size());
        }
        const auto results = results_of(result.items);
        result.repeated = !history.add(results);
        return !results.empty() && !result.repeated;
    };
    error_code connect_error;
    const auto answer = co_await calls_.call(
        server, std::move(request), std::move(permit),
        limit + silence_allowance, running.get(), &connect_error, is_own);
    running->reset(); // the connection may be used by another call by now
    if (result.repeated)
    {
        result.items.clear();
        co_return result;
    }
    if (!answer)
    {
        result.unconnected = connect_error == asio::error::timed_out;
        co_return result;
    }
    const auto metadata = protocol_.read_answer(*answer);
    result.load = metadata.load;
    result.shed = metadata.proven_not_run;
    result.answered = result.shed || !result.items.empty();
    co_return result;
}

asio::awaitable<void> stage_call_sender::replace_overdue(
    std::shared_ptr<std::weak_ptr<backend_exchange>> running,
    server_pointer server, milliseconds limit)
{
    co_await pause(io_, limit);
    auto exchange = running->lock();
    while (exchange && !has_alternative_(*server))
    {
        exchange.reset(); // its owner ends it
        co_await pause(io_, overdue_interval);
        exchange = running->lock();
    }
    if (exchange)
    {
        exchange->abort();
    }
}

} // namespace mangolink
