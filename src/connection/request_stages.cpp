#include "connection/request_stages.hpp"

#include "connection/stage_dispatcher.hpp"
#include "request/transfer_cost.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Limits, per request, of items executed again and of unsent items moved to
/// another server; beyond them the request is refused. A stage has about
/// twenty items, which fail together.
constexpr std::uint32_t max_repeats = 60;
constexpr std::uint32_t max_reroutes = 200;

/// Expected time of a following stage, used to set the due time of the stages
/// before it: half a call of queueing, and the call.
constexpr milliseconds following_stage_time{350};

} // namespace

request_stages::request_stages(asio::io_context& io,
                               stage_dispatcher& dispatcher,
                               const gateway_route& route,
                               const std::vector<std::uint32_t>& item_counts,
                               stages_parameters parameters)
    : dispatcher_(dispatcher), parameters_(std::move(parameters)),
      plan_(route.stages, item_counts), wake_(io)
{
}

asio::awaitable<bool> request_stages::execute()
{
    const auto self = shared_from_this();
    const auto start_time = boot_clock::now();
    submit_ready();
    while (!plan_.complete() && !stopped_ && failure_.empty())
    {
        error_code ignored; // cancelling the timer signals progress
        wake_.expires_at(asio::steady_timer::time_point::max());
        co_await wake_.async_wait(redirect_to(ignored));
    }
    time_ += std::chrono::duration_cast<milliseconds>(boot_clock::now() -
                                                      start_time);
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
    results_lost_ = false;
    ++repeats_;
}

void request_stages::finish()
{
    stop();
    dispatcher_.release(plan_.restart());
}

void request_stages::item_ended(stage_item item, stage_item_answer answer)
{
    if (answer.end == stage_item_outcome::made)
    {
        if (stopped_ || !plan_.made(item, answer.handle))
        {
            dispatcher_.release({answer.handle});
        }
        dispatcher_.release(plan_.take_used());
    }
    else
    {
        handle_failure(item, answer.end);
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

void request_stages::handle_failure(stage_item item, stage_item_outcome end)
{
    switch (end)
    {
    case stage_item_outcome::made:
        break;
    case stage_item_outcome::late:
        failure_ = "stage pool too late";
        break;
    case stage_item_outcome::no_input:
        restart();
        break;
    case stage_item_outcome::unsent:
        plan_.requeue(item);
        ++reroutes_;
        break;
    case stage_item_outcome::no_room:
    case stage_item_outcome::failed:
        plan_.requeue(item);
        ++repeats_;
        break;
    }
    if (repeats_ > max_repeats || reroutes_ > max_reroutes)
    {
        failure_ = "stage pool failed";
    }
}

void request_stages::submit_ready()
{
    std::vector<std::shared_ptr<stage_task>> tasks;
    for (const auto& item : plan_.take_ready())
    {
        if (tasks.empty() || tasks.back()->stage != item.stage)
        {
            tasks.push_back(create_task(item.stage));
        }
        tasks.back()->items.push_back(item.index);
    }
    for (auto& task : tasks)
    {
        dispatcher_.submit(std::move(task));
    }
}

std::shared_ptr<stage_task> request_stages::create_task(std::uint32_t stage)
{
    const auto& definition = plan_.stage(stage);
    auto task = std::make_shared<stage_task>();
    task->client = weak_from_this();
    task->request_id = parameters_.request_id;
    task->service = definition.service;
    task->stage = stage;
    task->item_key = parameters_.item_key;
    task->inputs = plan_.inputs_of(stage);
    task->result_bytes = definition.result_bytes;
    for (const auto input : definition.input_stages)
    {
        task->input_bytes =
            std::max(task->input_bytes, plan_.stage(input).result_bytes);
    }
    task->deadline = parameters_.deadline;
    task->regions = parameters_.regions();
    task->preferred_zone = parameters_.preferred_zone;
    // The wait for the zone is limited to the cost of moving the results.
    const double moved =
        transfer_cost_ms(definition.result_bytes * plan_.item_count(stage));
    task->preference = std::min(parameters_.preference,
                                milliseconds(static_cast<std::int64_t>(moved)));
    task->stages_after = plan_.stages_after(stage);
    // Leaves time for the stages that follow.
    task->due = parameters_.due -
                following_stage_time * static_cast<int>(task->stages_after);
    return task;
}

} // namespace mangolink
