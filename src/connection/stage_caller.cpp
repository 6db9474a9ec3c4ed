#include "connection/stage_caller.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "connection/backend_caller.hpp"
#include "connection/failure_log.hpp"
#include "connection/forward_protocol.hpp"
#include "connection/listening_socket.hpp"
#include "process/backend_server.hpp"
#include "request/stage_router.hpp"
#include "roles/gateway_state.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Time over which releases are collected into one call.
constexpr milliseconds release_batch_delay{10};
constexpr milliseconds release_timeout{1000};

/// A release without an answer is repeated, since the server may be silent. It
/// expires the results by itself in the end.
constexpr int max_release_calls = 4;
constexpr milliseconds release_retry_delay{500};

/// Delay before the query, so that the server's report, which lags slightly,
/// includes releases in flight.
constexpr milliseconds memory_query_delay{100};

/// A hold may end early, with another start of the server.
constexpr milliseconds hold_check_interval{100};

} // namespace

stage_caller::stage_caller(asio::io_context& io,
                           const forward_protocol& protocol,
                           gateway_state& state, stage_router& router,
                           backend_caller& calls, metrics_registry& metrics,
                           result_release release, owner_check owns)
    : io_(io), protocol_(protocol), state_(state), router_(router),
      calls_(calls), metrics_(metrics), release_(std::move(release)),
      owns_(std::move(owns)), sender_(io, protocol, calls,
                                      [this](const backend_server& server)
                                      { return has_alternative(server); })
{
}

stage_caller::~stage_caller() = default;

void stage_caller::enqueue(const std::string& server,
                           const std::shared_ptr<const stage_task>& task)
{
    server_entry* entry = find_or_add_entry(state_.directory().find(server));
    if (entry == nullptr)
    {
        std::vector<waiting_item> items;
        for (const auto item : task->items)
        {
            items.push_back({task, item});
        }
        return_items(items, stage_item_outcome::unsent);
        return;
    }
    if (shares_backlogs())
    {
        join_group(*entry);
    }
    entry->used = true;
    entry->queue.add(task);
    update_router(*entry, server);
    schedule_processing(*entry);
    if (!entry->queue.can_begin_call(boot_clock::now()))
    {
        wake_siblings(*entry);
    }
}

void stage_caller::enqueue_release(const std::string& server,
                                   const std::vector<std::string>& handles)
{
    server_entry* entry = find_or_add_entry(state_.directory().find(server));
    if (entry == nullptr)
    {
        return; // the results were lost with their server
    }
    entry->used = true;
    for (const auto& handle : handles)
    {
        entry->results_to_free.push_back(handle);
    }
    if (!entry->release_scheduled)
    {
        entry->release_scheduled = true;
        asio::co_spawn(io_, release_results(*entry),
                       failure_log("stage release"));
    }
}

std::vector<named_load_report> stage_caller::load_reports()
{
    std::vector<named_load_report> result;
    for (auto& [id, entry] : entries_)
    {
        if (entry->server && entry->used)
        {
            result.push_back({entry->server, load_report_of(*entry)});
        }
    }
    return result;
}

void stage_caller::servers_changed()
{
    // Servers usually return under a new id, so unused entries are removed.
    absl::erase_if(entries_, [](const auto& pair)
                   { return pair.second->is_removable(); });
    for (auto& [id, entry] : entries_)
    {
        entry->update_server(state_.directory().find(id));
        schedule_processing(*entry);
    }
}

void stage_caller::server_entry::update_server(
    std::shared_ptr<const backend_server> current)
{
    if (current && started_ms != current->started_ms)
    {
        started_ms = current->started_ms;
        queue.memory().server_restarted();
    }
    server = std::move(current);
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
                       [](const auto& entry)
                       { return entry.second->queue.busy(); });
}

stage_caller::server_entry*
stage_caller::find_or_add_entry(const server_pointer& server)
{
    if (!server)
    {
        return nullptr;
    }
    // The router chooses by the directory: an entry that lags behind it would
    // return the items, which the router would send here again.
    const auto found = entries_.find(server->id);
    if (found != entries_.end())
    {
        found->second->update_server(server);
        return found->second.get();
    }
    const auto* pool_parameters = state_.find_stage_pool(server->service);
    if (pool_parameters == nullptr)
    {
        return nullptr;
    }
    auto& entry =
        *entries_
             .emplace(server->id,
                      std::make_unique<server_entry>(server, *pool_parameters))
             .first->second;
    const auto report = router_.load_report_of(server->id, boot_clock::now());
    if (report && shares_backlogs())
    {
        // Another process made the calls so far; its results remain.
        entry.queue.memory().report_free(report->free_bytes, boot_clock::now());
        query_memory(entry);
    }
    return &entry;
}

void stage_caller::join_group(server_entry& entry)
{
    const auto backlog = entry.queue.backlog();
    backlog->limits_late_items = true;
    for (const auto& member :
         state_.directory().groups().members(*entry.server))
    {
        if (auto* other = find_or_add_entry(member))
        {
            other->queue.join_backlog(backlog);
        }
    }
}

bool stage_caller::shares_backlogs() const
{
    return state_.shares_stage_backlogs();
}

template <typename Action>
void stage_caller::for_each_sibling(const server_entry& entry, Action action)
{
    if (entry.queue.backlog().use_count() <= 1)
    {
        return;
    }
    for (auto& [id, other] : entries_)
    {
        if (other.get() != &entry &&
            other->queue.shares_backlog_with(entry.queue))
        {
            action(*other);
        }
    }
}

void stage_caller::wake_siblings(const server_entry& entry)
{
    const auto now = boot_clock::now();
    for_each_sibling(entry,
                     [&](server_entry& sibling)
                     {
                         if (sibling.server &&
                             sibling.queue.can_begin_call(now))
                         {
                             schedule_processing(sibling);
                         }
                     });
}

void stage_caller::give_up_waiting(server_entry& entry)
{
    bool usable = false;
    for_each_sibling(entry,
                     [&](server_entry& sibling)
                     {
                         usable =
                             usable || (sibling.server &&
                                        load_report_of(sibling).ejected_for ==
                                            milliseconds(0));
                     });
    if (usable)
    {
        wake_siblings(entry);
    }
    else
    {
        return_items(entry.queue.remove_all(), stage_item_outcome::unsent);
    }
}

void stage_caller::record_free_memory(const std::string& server,
                                      std::uint64_t bytes)
{
    const auto found = entries_.find(server);
    if (shares_backlogs() && found != entries_.end() && found->second->server &&
        !owns_(*found->second->server))
    {
        found->second->queue.memory().report_free(bytes, boot_clock::now());
    }
}

void stage_caller::schedule_processing(server_entry& entry)
{
    if (entry.processing_scheduled)
    {
        return;
    }
    entry.processing_scheduled = true;
    asio::co_spawn(io_, process_queue(entry), failure_log("stage queue"));
}

asio::awaitable<void> stage_caller::process_queue(server_entry& entry)
{
    const auto user = entry.users;
    entry.processing_scheduled = false;
    auto call = take_next_call(entry);
    if (!call.items.empty())
    {
        // The entry loses its server when that is removed during the call.
        const auto server = entry.server;
        co_await make_call(entry, server, std::move(call));
    }
}

stage_caller::next_call stage_caller::take_next_call(server_entry& entry)
{
    const auto now = boot_clock::now();
    const auto load_report = load_report_of(entry);
    if (!entry.server)
    {
        give_up_waiting(entry);
        entry.queue.leave_backlog();
        return {};
    }
    if (load_report.ejected_for > milliseconds(0) &&
        has_alternative(*entry.server))
    {
        give_up_waiting(entry);
        return {};
    }
    if (load_report.ejected_for > milliseconds(0))
    {
        schedule_processing_after(entry, load_report.ejected_for);
    }
    const auto* pool_parameters = state_.find_stage_pool(entry.server->service);
    if (pool_parameters != nullptr)
    {
        entry.queue.configure(*pool_parameters);
    }
    return_items(entry.queue.remove_expired(now), stage_item_outcome::late);
    next_call call;
    call.permit = take_permit(entry);
    if (call.permit)
    {
        call.items = entry.queue.begin_call(now);
        entry.used = entry.used || !call.items.empty();
    }
    else if (const auto wait = state_.limits().time_until_permit(
                 *entry.server, role_for(*entry.server), now);
             entry.queue.busy() && wait)
    {
        schedule_processing_after(entry,
                                  std::max(*wait, load_report.ejected_for));
    }
    update_router(entry, entry.server->id);
    if (!call.items.empty() && entry.queue.has_waiting_items())
    {
        wake_siblings(entry);
    }
    return call;
}

std::optional<send_permit> stage_caller::take_permit(server_entry& entry)
{
    const auto now = boot_clock::now();
    return state_.holds().is_held(*entry.server, now)
               ? std::nullopt
               : state_.limits().acquire(*entry.server, role_for(*entry.server),
                                         now);
}

sender_role stage_caller::role_for(const backend_server& server) const
{
    return owns_(server) ? sender_role::owner : sender_role::substitute;
}

server_load_report stage_caller::load_report_of(server_entry& entry) const
{
    const auto now = boot_clock::now();
    auto report = entry.queue.load_report(now);
    if (entry.server)
    {
        report.ejected_for = std::max(
            report.ejected_for, state_.holds().remaining(*entry.server, now));
        report.busy += limit_delay(entry, report, now);
    }
    return report;
}

milliseconds stage_caller::limit_delay(server_entry& entry,
                                       const server_load_report& report,
                                       boot_clock::time_point now) const
{
    const auto& server = *entry.server;
    const auto* pool = state_.find_stage_pool(server.service);
    if (!state_.limits().limit_of(server) || pool == nullptr)
    {
        return milliseconds(0);
    }
    const auto role = role_for(server);
    const auto wait = state_.limits().time_until_permit(server, role, now);
    const std::chrono::duration<double> call_time =
        pool->call_time + pool->item_time * pool->batch_size;
    const std::chrono::duration<double> interval(
        1 / state_.limits().share_of(server, role, now).per_second);
    const std::size_t queued_calls =
        report.item_count / std::max(1U, pool->batch_size);
    const auto queue_delay = std::max(interval - call_time, interval * 0) *
                             static_cast<double>(queued_calls);
    return std::max(wait.value_or(report.busy) - report.busy, milliseconds(0)) +
           std::chrono::ceil<milliseconds>(queue_delay);
}

asio::awaitable<void> stage_caller::wait_for_hold(server_entry& entry)
{
    while (entry.server &&
           state_.holds().is_held(*entry.server, boot_clock::now()))
    {
        co_await pause(io_, hold_check_interval);
    }
}

void stage_caller::update_router(server_entry& entry, const std::string& server)
{
    router_.update_load_report(server, load_report_of(entry),
                               boot_clock::now());
    for_each_sibling(entry,
                     [&](server_entry& sibling)
                     {
                         if (sibling.server)
                         {
                             router_.update_load_report(sibling.server->id,
                                                        load_report_of(sibling),
                                                        boot_clock::now());
                         }
                     });
}

bool stage_caller::has_alternative(const backend_server& server) const
{
    const auto now = boot_clock::now();
    const auto& all =
        state_.directory().servers(server.service, region_set::all());
    return std::any_of(all.begin(), all.end(),
                       [&](const auto& other) {
                           return other->id != server.id &&
                                  !router_.is_ejected(other->id, now);
                       });
}

void stage_caller::schedule_processing_after(server_entry& entry,
                                             milliseconds time)
{
    if (!entry.processing_timer)
    {
        entry.processing_timer.emplace(io_);
    }
    entry.processing_timer->expires_after(time + milliseconds(1));
    entry.processing_timer->async_wait(
        [this, &entry](const error_code& cancelled)
        {
            if (!cancelled)
            {
                entry.processing_timer.reset();
                schedule_processing(entry);
            }
        });
}

void stage_caller::return_items(const std::vector<waiting_item>& items,
                                stage_item_outcome end)
{
    for (const auto& item : items)
    {
        const auto client = item.task->client.lock();
        if (client)
        {
            client->item_ended({item.task->stage, item.index}, {end, {}});
        }
    }
}

asio::awaitable<void> stage_caller::make_call(server_entry& entry,
                                              server_pointer server,
                                              next_call call)
{
    const auto& items = call.items;
    const auto start_time = boot_clock::now();
    const auto limit = entry.queue.call_timeout(items.size());
    stage_call_result result;
    try
    {
        result = co_await sender_.send(server, items, std::move(*call.permit),
                                       limit);
    }
    catch (...) // the call counts as lost, so that the server's queue goes on
    {
        failure_log("stage call")(std::current_exception());
    }
    const auto now = boot_clock::now();
    const auto duration =
        std::chrono::duration_cast<milliseconds>(now - start_time);
    std::uint64_t reserved = 0;
    for (const auto& item : items)
    {
        reserved += item.task->result_bytes;
    }
    const bool silent = result.unconnected && !has_alternative(*server);
    const auto end = silent             ? call_outcome::silent
                     : !result.answered ? call_outcome::lost
                     : result.shed      ? call_outcome::shed
                                        : call_outcome::answered;
    entry.queue.call_ended(items.size(), reserved, duration, end, now);
    if (result.load && result.load->work_factor)
    {
        entry.queue.record_work_factor(*result.load->work_factor);
    }
    update_router(entry, server->id);
    log_call(entry, items.size(), duration, result);
    if (result.unconnected)
    {
        return_items(items, stage_item_outcome::unsent);
    }
    else
    {
        complete_items(entry, items, result);
    }
    schedule_processing(entry);
}

void stage_caller::complete_items(server_entry& entry,
                                  const std::vector<waiting_item>& items,
                                  const stage_call_result& result)
{
    static constexpr const char* names[] = {"made",    "late",   "no_input",
                                            "no_room", "failed", "unsent"};
    std::optional<std::uint64_t> too_large; ///< smallest without room
    for (std::size_t i = 0; i < items.size(); ++i)
    {
        const auto& task = *items[i].task;
        stage_item_answer answer;
        if (i < result.items.size())
        {
            answer = result.items[i];
        }
        if (answer.end == stage_item_outcome::made)
        {
            entry.queue.memory().add_result(answer.handle, task.result_bytes,
                                            boot_clock::now());
        }
        else
        {
            if (answer.end == stage_item_outcome::no_room)
            {
                too_large = std::min(too_large.value_or(task.result_bytes),
                                     task.result_bytes);
            }
            const std::string end = names[static_cast<std::size_t>(answer.end)];
            metrics_
                .counter("mangolink_stage_pieces_failed_total",
                         metric_label("service", task.service) + "," +
                             metric_label("end", end))
                .add();
            log_notice("stage", "Stage item failed.",
                       {{"id", task.request_id},
                        {"service", task.service},
                        {"server", entry.server ? entry.server->id : "gone"},
                        {"stage", std::to_string(task.stage)},
                        {"piece", std::to_string(items[i].index)},
                        {"end", end}});
        }
        const auto client = task.client.lock();
        if (client)
        {
            client->item_ended({task.stage, items[i].index}, std::move(answer));
        }
        else if (answer.end == stage_item_outcome::made)
        {
            release_({answer.handle});
        }
    }
    if (too_large)
    {
        // Until the server has reported its free memory, only smaller results
        // are expected to fit.
        entry.queue.memory().report_free(shares_backlogs() ? *too_large / 2 : 0,
                                         boot_clock::now());
        query_memory(entry);
    }
}

void stage_caller::query_memory(server_entry& entry)
{
    if (!entry.memory_query_pending)
    {
        entry.memory_query_pending = true;
        asio::co_spawn(io_, query_free_memory(entry),
                       failure_log("memory query"));
    }
}

void stage_caller::log_call(const server_entry& entry, std::size_t items,
                            milliseconds duration,
                            const stage_call_result& result)
{
    const std::string service = entry.server ? entry.server->service : "";
    const std::string label = metric_label("service", service);
    metrics_.counter("mangolink_stage_calls_total", label).add();
    metrics_.counter("mangolink_stage_pieces_total", label).add(items);
    const std::string call_text = std::to_string(items) + " items in " +
                                  std::to_string(duration.count()) + " ms";
    const std::string server = entry.server ? entry.server->id : "gone";
    if (!result.answered || result.shed)
    {
        metrics_.counter("mangolink_stage_failures_total", label).add();
        log_warning("stage", "Call failed.",
                    {{"service", service},
                     {"server", server},
                     {"call", call_text},
                     {"outcome", result.shed       ? "no room"
                                 : result.repeated ? "copy of another answer"
                                                   : "no answer"}});
    }
    else if (log_enabled(log_level::detail))
    {
        log_detail(
            "stage", "Call ended.",
            {{"service", service}, {"server", server}, {"call", call_text}});
    }
}

asio::awaitable<void> stage_caller::release_results(server_entry& entry)
{
    const auto user = entry.users;
    co_await pause(io_, release_batch_delay);
    co_await wait_for_hold(entry);
    entry.release_scheduled = false;
    const auto handles = std::exchange(entry.results_to_free, {});
    bool released = false;
    for (int i = 0; i < max_release_calls && !released; ++i)
    {
        if (i > 0)
        {
            co_await pause(io_, release_retry_delay);
        }
        const auto server = entry.server;
        if (!server)
        {
            co_return; // the results were lost with their server
        }
        text_request request = protocol_.release_call(*server, handles);
        // The call's own answer may still follow that to another call.
        const backend_caller::answer_check is_own =
            [&](const text_response& answer, answer_history&)
        {
            released = !protocol_.is_stage_answer(answer.body());
            return released;
        };
        co_await calls_.call(server, std::move(request),
                             send_permit::unlimited(), release_timeout, nullptr,
                             nullptr, is_own);
    }
    if (!released)
    {
        co_return;
    }
    for (const auto& handle : handles)
    {
        entry.queue.memory().release(handle);
    }
    schedule_processing(entry);
}

asio::awaitable<void> stage_caller::query_free_memory(server_entry& entry)
{
    const auto user = entry.users;
    co_await pause(io_, memory_query_delay);
    co_await wait_for_hold(entry);
    entry.memory_query_pending = false;
    const auto server = entry.server;
    if (!server)
    {
        co_return;
    }
    text_request request = protocol_.memory_query(*server);
    std::optional<std::uint64_t> free;
    const backend_caller::answer_check is_report =
        [&](const text_response& answer, answer_history&)
    {
        free = answer.result() == http::status::ok
                   ? protocol_.read_memory_query(answer.body())
                   : std::nullopt;
        return free.has_value();
    };
    co_await calls_.call(server, std::move(request), send_permit::unlimited(),
                         release_timeout, nullptr, nullptr, is_report);
    if (free)
    {
        entry.queue.memory().report_free(*free, boot_clock::now());
    }
    log_notice("stage", "Free memory queried.",
               {{"server", server->id},
                {"free_bytes", free ? std::to_string(*free) : "no answer"}});
    schedule_processing_after(entry, milliseconds(0));
}

} // namespace mangolink
