#include "connection/stage_caller.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "connection/backend_caller.hpp"
#include "connection/forward_protocol.hpp"
#include "connection/listening_socket.hpp"
#include "process/backend_server.hpp"
#include "request/stage_router.hpp"
#include "roles/gateway_state.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace mangolink
{
namespace
{

/// How long results are collected before they are given up together.
constexpr milliseconds release_batch_delay{10};
constexpr milliseconds release_timeout{1000};

/// The report of a server lags a little; releases under way are in it then.
constexpr milliseconds memory_query_delay{100};

} // namespace

stage_caller::stage_caller(asio::io_context& io,
                           const forward_protocol& protocol,
                           gateway_state& state, stage_router& router,
                           backend_caller& calls, metrics_registry& metrics,
                           result_release release)
    : io_(io), protocol_(protocol), state_(state), router_(router),
      calls_(calls), metrics_(metrics), release_(std::move(release))
{
}

stage_caller::~stage_caller() = default;

void stage_caller::enqueue(const std::string& server,
                           const std::shared_ptr<const stage_task>& task)
{
    server_entry* row = find_or_add_entry(server);
    if (row == nullptr)
    {
        std::vector<waiting_item> pieces;
        for (const auto index : task->pieces)
        {
            pieces.push_back({task, index});
        }
        return_items(pieces, stage_item_outcome::unsent);
        return;
    }
    row->queue.add(task);
    router_.update_load_report(
        server, row->queue.load_report(boot_clock::now()), boot_clock::now());
    schedule_processing(*row);
}

void stage_caller::enqueue_release(const std::string& server,
                                   const std::vector<std::string>& handles)
{
    server_entry* row = find_or_add_entry(server);
    if (row == nullptr)
    {
        return; // results do not outlive their server
    }
    for (const auto& handle : handles)
    {
        row->results_to_free.push_back(handle);
    }
    if (!row->release_scheduled)
    {
        row->release_scheduled = true;
        asio::co_spawn(io_, release_results(*row), asio::detached);
    }
}

std::vector<named_load_report> stage_caller::load_reports()
{
    std::vector<named_load_report> result;
    const auto now = boot_clock::now();
    for (auto& [id, row] : entries_)
    {
        if (row->server)
        {
            result.push_back(
                {id, row->server->zone, row->queue.load_report(now)});
        }
    }
    return result;
}

void stage_caller::servers_changed()
{
    // Servers mostly return under new ids, so rows that rest are dropped.
    absl::erase_if(entries_, [](const auto& pair)
                   { return pair.second->is_removable(); });
    for (auto& [id, row] : entries_)
    {
        auto next = state_.directory().find(id);
        if (next && row->started_ms != next->started_ms)
        {
            row->started_ms = next->started_ms;
            row->queue.memory().server_restarted();
        }
        row->server = std::move(next);
        schedule_processing(*row);
    }
}

bool stage_caller::server_entry::is_removable() const
{
    return !server && !queue.busy() && !processing_scheduled &&
           !release_scheduled && !memory_query_pending && !processing_timer &&
           users.use_count() == 1;
}

bool stage_caller::busy() const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [](const auto& row)
                       { return row.second->queue.busy(); });
}

stage_caller::server_entry*
stage_caller::find_or_add_entry(const std::string& server)
{
    const auto found = entries_.find(server);
    if (found != entries_.end())
    {
        return found->second->server ? found->second.get() : nullptr;
    }
    const auto facts = state_.directory().find(server);
    const auto* figures =
        facts ? state_.find_stage_pool(facts->service) : nullptr;
    if (figures == nullptr)
    {
        return nullptr;
    }
    auto row = std::make_unique<server_entry>(facts, *figures);
    return entries_.emplace(server, std::move(row)).first->second.get();
}

void stage_caller::schedule_processing(server_entry& row)
{
    // Pieces of one request arrive together; the call is made after them.
    if (row.processing_scheduled)
    {
        return;
    }
    row.processing_scheduled = true;
    asio::post(io_,
               [this, &row]
               {
                   row.processing_scheduled = false;
                   process_queue(row);
               });
}

void stage_caller::process_queue(server_entry& row)
{
    const auto now = boot_clock::now();
    const auto load_report = row.queue.load_report(now);
    if (!row.server || (load_report.ejected_for > milliseconds(0) &&
                        has_alternative(*row.server)))
    {
        return_items(row.queue.remove_all(), stage_item_outcome::unsent);
        return;
    }
    if (load_report.ejected_for > milliseconds(0))
    {
        schedule_processing_after(row, load_report.ejected_for);
    }
    const auto* figures = state_.find_stage_pool(row.server->service);
    if (figures != nullptr)
    {
        row.queue.configure(*figures);
    }
    return_items(row.queue.remove_expired(now), stage_item_outcome::late);
    auto pieces = row.queue.begin_call(now);
    if (!pieces.empty())
    {
        asio::co_spawn(io_, make_call(row, std::move(pieces)), asio::detached);
    }
}

bool stage_caller::has_alternative(const backend_server& server) const
{
    const auto now = boot_clock::now();
    const auto& all = state_.directory().servers(server.service);
    return std::any_of(all.begin(), all.end(),
                       [&](const auto& other) {
                           return other->id != server.id &&
                                  !router_.is_ejected(other->id, now);
                       });
}

void stage_caller::schedule_processing_after(server_entry& row,
                                             milliseconds time)
{
    if (!row.processing_timer)
    {
        row.processing_timer.emplace(io_);
    }
    row.processing_timer->expires_after(time + milliseconds(1));
    row.processing_timer->async_wait(
        [this, &row](const error_code& cancelled)
        {
            if (!cancelled)
            {
                row.processing_timer.reset();
                schedule_processing(row);
            }
        });
}

void stage_caller::return_items(const std::vector<waiting_item>& pieces,
                                stage_item_outcome end)
{
    for (const auto& row : pieces)
    {
        const auto client = row.task->client.lock();
        if (client)
        {
            client->item_ended({row.task->stage, row.index}, {end, {}});
        }
    }
}

asio::awaitable<void> stage_caller::make_call(server_entry& row,
                                              std::vector<waiting_item> pieces)
{
    const auto user = row.users;
    const auto server = row.server;
    const auto began = boot_clock::now();
    const auto limit = row.queue.call_timeout(pieces.size());
    const call_result result = co_await exchange(server, pieces, limit);
    const auto now = boot_clock::now();
    const auto took = std::chrono::duration_cast<milliseconds>(now - began);
    std::uint64_t reserved = 0;
    for (const auto& index : pieces)
    {
        reserved += index.task->result_bytes;
    }
    const auto end = !result.answered ? call_outcome::lost
                     : result.shed    ? call_outcome::shed
                                      : call_outcome::answered;
    row.queue.call_ended(pieces.size(), reserved, took, end, now);
    router_.update_load_report(server->id, row.queue.load_report(now), now);
    log_call(row, pieces.size(), took, result);
    complete_items(row, pieces, result);
    schedule_processing(row);
}

asio::awaitable<stage_caller::call_result>
stage_caller::exchange(server_pointer server,
                       const std::vector<waiting_item>& pieces,
                       milliseconds limit)
{
    std::vector<stage_call_item> items;
    const auto now = boot_clock::now();
    for (const auto& row : pieces)
    {
        const auto& task = *row.task;
        items.push_back(
            {task.request_id,
             {task.stage, row.index},
             std::chrono::duration_cast<milliseconds>(task.deadline - now),
             task.item_key,
             task.inputs});
    }
    call_result result;
    text_request request = protocol_.stage_call(*server, items);
    const auto answer = co_await calls_.call(server, std::move(request), limit);
    if (!answer)
    {
        co_return result;
    }
    result.shed = protocol_.read_answer(*answer).proven_not_run;
    if (answer->result() == http::status::ok)
    {
        result.items =
            protocol_.read_stage_answer(answer->body(), items.size());
    }
    result.answered = result.shed || !result.items.empty();
    co_return result;
}

void stage_caller::complete_items(server_entry& row,
                                  const std::vector<waiting_item>& pieces,
                                  const call_result& result)
{
    static constexpr const char* names[] = {"made",    "late",   "no_input",
                                            "no_room", "failed", "unsent"};
    bool full = false;
    for (std::size_t i = 0; i < pieces.size(); ++i)
    {
        const auto& task = *pieces[i].task;
        stage_item_answer answer;
        if (i < result.items.size())
        {
            answer = result.items[i];
        }
        if (answer.end == stage_item_outcome::made)
        {
            row.queue.memory().add_result(answer.handle, task.result_bytes,
                                          boot_clock::now());
        }
        else
        {
            full = full || answer.end == stage_item_outcome::no_room;
            const std::string end = names[static_cast<std::size_t>(answer.end)];
            metrics_
                .counter("mangolink_stage_pieces_failed_total",
                         "service=\"" + task.service + "\",end=\"" + end + "\"")
                .add();
            log_notice("stage", "Piece not made.",
                       {{"id", task.request_id},
                        {"service", task.service},
                        {"server", row.server ? row.server->id : "gone"},
                        {"stage", std::to_string(task.stage)},
                        {"piece", std::to_string(pieces[i].index)},
                        {"end", end}});
        }
        const auto client = task.client.lock();
        if (client)
        {
            client->item_ended({task.stage, pieces[i].index},
                               std::move(answer));
        }
        else if (answer.end == stage_item_outcome::made)
        {
            release_({answer.handle});
        }
    }
    if (full)
    {
        // Nothing is sent until the server has told what is free.
        row.queue.memory().report_free(0, boot_clock::now());
        if (!row.memory_query_pending)
        {
            row.memory_query_pending = true;
            asio::co_spawn(io_, query_free_memory(row), asio::detached);
        }
    }
}

void stage_caller::log_call(const server_entry& row, std::size_t pieces,
                            milliseconds took, const call_result& result)
{
    const std::string service = row.server ? row.server->service : "";
    const std::string label = "service=\"" + service + "\"";
    metrics_.counter("mangolink_stage_calls_total", label).add();
    metrics_.counter("mangolink_stage_pieces_total", label).add(pieces);
    const std::string call_text = std::to_string(pieces) + " pieces in " +
                                  std::to_string(took.count()) + " ms";
    const std::string server = row.server ? row.server->id : "gone";
    if (!result.answered || result.shed)
    {
        metrics_.counter("mangolink_stage_failures_total", label).add();
        log_warning("stage", "Call failed.",
                    {{"service", service},
                     {"server", server},
                     {"call", call_text},
                     {"outcome", result.shed ? "no room" : "no answer"}});
    }
    else if (log_enabled(log_level::detail))
    {
        log_detail(
            "stage", "Call ended.",
            {{"service", service}, {"server", server}, {"call", call_text}});
    }
}

asio::awaitable<void> stage_caller::release_results(server_entry& row)
{
    const auto user = row.users;
    co_await pause(io_, release_batch_delay);
    row.release_scheduled = false;
    const auto handles = std::exchange(row.results_to_free, {});
    const auto server = row.server;
    if (!server)
    {
        co_return;
    }
    text_request request = protocol_.release_call(*server, handles);
    const auto answer =
        co_await calls_.call(server, std::move(request), release_timeout);
    if (!answer)
    {
        co_return; // results that were not given up expire by themselves
    }
    for (const auto& handle : handles)
    {
        row.queue.memory().release(handle);
    }
    schedule_processing(row);
}

asio::awaitable<void> stage_caller::query_free_memory(server_entry& row)
{
    const auto user = row.users;
    co_await pause(io_, memory_query_delay);
    row.memory_query_pending = false;
    const auto server = row.server;
    if (!server)
    {
        co_return;
    }
    text_request request = protocol_.memory_query(*server);
    const auto answer =
        co_await calls_.call(server, std::move(request), release_timeout);
    const auto free = answer && answer->result() == http::status::ok
                          ? protocol_.read_memory_query(answer->body())
                          : std::nullopt;
    if (free)
    {
        row.queue.memory().report_free(*free, boot_clock::now());
    }
    log_notice("stage", "Room asked for.",
               {{"server", server->id},
                {"free_bytes", free ? std::to_string(*free) : "no answer"}});
    schedule_processing_after(row, milliseconds(0));
}

} // namespace mangolink
