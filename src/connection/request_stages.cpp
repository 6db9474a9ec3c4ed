#include "connection/request_stages.hpp"

#include "connection/stage_dispatcher.hpp"
#include "request/transfer_cost.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Pieces of a request that are made again, and that go to another server
/// without having been sent, before the request is refused. A stage has some
/// twenty pieces, which fail together.
constexpr std::uint32_t most_repeats = 60;
constexpr std::uint32_t most_reroutes = 200;

/// Time that a stage is expected to take when the due time of the stages
/// before it is set: half a call's wait, and the call.
constexpr milliseconds following_stage_time{350};

} // namespace

request_stages::request_stages(asio::io_context& io,
                               stage_dispatcher& dispatcher,
                               const gateway_route& route,
                               const std::vector<std::uint32_t>& piece_counts,
                               stages_purpose purpose)
    : dispatcher_(dispatcher), purpose_(std::move(purpose)),
      plan_(route.stages, piece_counts), wake_(io)
{
}

asio::awaitable<bool> request_stages::make()
{
    const auto self = shared_from_this();
    const auto began = boot_clock::now();
    submit_ready();
    while (!plan_.complete() && !stopped_ && failure_.empty())
    {
        error_code ignored; // a cancelled wait is an event
        wake_.expires_at(asio::steady_timer::time_point::max());
        co_await wake_.async_wait(redirect_to(ignored));
    }
    time_ +=
        std::chrono::duration_cast<milliseconds>(boot_clock::now() - began);
    if (plan_.complete() && !stopped_)
    {
        co_return true;
    }
    failure_ = failure_.empty() ? "stages took too long" : failure_;
    co_return false;
}

void request_stages::stop()
{
    stopped_ = true;
    wake_.cancel();
}

void request_stages::restart()
{
    dispatcher_.release(plan_.restart());
    ++repeats_;
}

void request_stages::finish()
{
    stop();
    dispatcher_.release(plan_.restart());
}

void request_stages::piece_ended(stage_piece piece, stage_item_answer answer)
{
    if (answer.end == stage_item_end::made)
    {
        if (stopped_ || !plan_.made(piece, answer.handle))
        {
            dispatcher_.release({answer.handle});
        }
        dispatcher_.release(plan_.take_used());
    }
    else
    {
        take_failure(piece, answer.end);
    }
    if (!stopped_ && failure_.empty())
    {
        submit_ready();
    }
    if (!failure_.empty() || plan_.complete())
    {
        wake_.cancel();
    }
}

void request_stages::take_failure(stage_piece piece, stage_item_end end)
{
    switch (end)
    {
    case stage_item_end::made:
        break;
    case stage_item_end::late:
        failure_ = "stage pool too late";
        break;
    case stage_item_end::no_input:
        restart();
        break;
    case stage_item_end::unsent:
        plan_.give_back(piece);
        ++reroutes_;
        break;
    case stage_item_end::no_room:
    case stage_item_end::failed:
        plan_.give_back(piece);
        ++repeats_;
        break;
    }
    if (repeats_ > most_repeats || reroutes_ > most_reroutes)
    {
        failure_ = "stage pool failed";
    }
}

void request_stages::submit_ready()
{
    std::vector<std::shared_ptr<stage_order>> orders;
    for (const auto& piece : plan_.take_ready())
    {
        if (orders.empty() || orders.back()->stage != piece.stage)
        {
            orders.push_back(new_order(piece.stage));
        }
        orders.back()->pieces.push_back(piece.piece);
    }
    for (auto& order : orders)
    {
        dispatcher_.submit(std::move(order));
    }
}

std::shared_ptr<stage_order> request_stages::new_order(std::uint32_t stage)
{
    const auto& definition = plan_.stage(stage);
    auto order = std::make_shared<stage_order>();
    order->client = weak_from_this();
    order->request_id = purpose_.request_id;
    order->service = definition.service;
    order->stage = stage;
    order->piece_key = purpose_.piece_key;
    order->inputs = plan_.inputs_of(stage);
    order->result_bytes = definition.result_bytes;
    for (const auto input : definition.inputs_from)
    {
        order->input_bytes =
            std::max(order->input_bytes, plan_.stage(input).result_bytes);
    }
    order->deadline = purpose_.deadline;
    order->preferred_zone = purpose_.preferred_zone;
    // No more is waited for the zone than moving the results would cost.
    const double moved =
        transfer_cost_ms(definition.result_bytes * plan_.pieces(stage));
    order->preference = std::min(
        purpose_.preference, milliseconds(static_cast<std::int64_t>(moved)));
    order->stages_after = plan_.stages_after(stage);
    // The time by which the stages that follow must begin.
    order->due = purpose_.due -
                 following_stage_time * static_cast<int>(order->stages_after);
    return order;
}

} // namespace mangolink
