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
constexpr milliseconds free_delay{10};
constexpr milliseconds free_limit{1000};

/// The report of a server lags a little; releases under way are in it then.
constexpr milliseconds room_question_delay{100};

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
                           const std::shared_ptr<const stage_order>& order)
{
    server_row* row = row_of(server);
    if (row == nullptr)
    {
        std::vector<waiting_piece> pieces;
        for (const auto piece : order->pieces)
        {
            pieces.push_back({order, piece});
        }
        send_back(pieces, stage_item_end::unsent);
        return;
    }
    row->queue.add(order);
    router_.take_outlook(server, row->queue.outlook(boot_clock::now()),
                         boot_clock::now());
    pump_soon(*row);
}

void stage_caller::release_here(const std::string& server,
                                const std::vector<std::string>& handles)
{
    server_row* row = row_of(server);
    if (row == nullptr)
    {
        return; // results do not outlive their server
    }
    for (const auto& handle : handles)
    {
        row->to_free.push_back(handle);
    }
    if (!row->free_pending)
    {
        row->free_pending = true;
        asio::co_spawn(io_, free_results(*row), asio::detached);
    }
}

std::vector<named_outlook> stage_caller::outlooks()
{
    std::vector<named_outlook> result;
    const auto now = boot_clock::now();
    for (auto& [id, row] : rows_)
    {
        if (row->server)
        {
            result.push_back({id, row->server->zone, row->queue.outlook(now)});
        }
    }
    return result;
}

void stage_caller::servers_changed()
{
    // Servers mostly return under new ids, so rows that rest are dropped.
    absl::erase_if(rows_,
                   [](const auto& pair) { return pair.second->rests(); });
    for (auto& [id, row] : rows_)
    {
        auto next = state_.directory().find(id);
        if (next && row->started_ms != next->started_ms)
        {
            row->started_ms = next->started_ms;
            row->queue.room().restarted();
        }
        row->server = std::move(next);
        pump_soon(*row);
    }
}

bool stage_caller::server_row::rests() const
{
    return !server && !queue.busy() && !pump_pending && !free_pending &&
           !room_asked && !wake && users.use_count() == 1;
}

bool stage_caller::busy() const
{
    return std::any_of(rows_.begin(), rows_.end(),
                       [](const auto& row)
                       { return row.second->queue.busy(); });
}

stage_caller::server_row* stage_caller::row_of(const std::string& server)
{
    const auto found = rows_.find(server);
    if (found != rows_.end())
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
    auto row = std::make_unique<server_row>(facts, *figures);
    return rows_.emplace(server, std::move(row)).first->second.get();
}

void stage_caller::pump_soon(server_row& row)
{
    // Pieces of one request arrive together; the call is made after them.
    if (row.pump_pending)
    {
        return;
    }
    row.pump_pending = true;
    asio::post(io_,
               [this, &row]
               {
                   row.pump_pending = false;
                   pump(row);
               });
}

void stage_caller::pump(server_row& row)
{
    const auto now = boot_clock::now();
    const auto outlook = row.queue.outlook(now);
    if (!row.server ||
        (outlook.avoid > milliseconds(0) && another_usable(*row.server)))
    {
        send_back(row.queue.take_all(), stage_item_end::unsent);
        return;
    }
    if (outlook.avoid > milliseconds(0))
    {
        pump_after(row, outlook.avoid);
    }
    const auto* figures = state_.find_stage_pool(row.server->service);
    if (figures != nullptr)
    {
        row.queue.configure(*figures);
    }
    send_back(row.queue.take_expired(now), stage_item_end::late);
    auto pieces = row.queue.begin_call(now);
    if (!pieces.empty())
    {
        asio::co_spawn(io_, make_call(row, std::move(pieces)), asio::detached);
    }
}

bool stage_caller::another_usable(const backend_server& server) const
{
    const auto now = boot_clock::now();
    const auto& all = state_.directory().servers(server.service);
    return std::any_of(all.begin(), all.end(),
                       [&](const auto& other) {
                           return other->id != server.id &&
                                  !router_.avoided(other->id, now);
                       });
}

void stage_caller::pump_after(server_row& row, milliseconds time)
{
    if (!row.wake)
    {
        row.wake.emplace(io_);
    }
    row.wake->expires_after(time + milliseconds(1));
    row.wake->async_wait(
        [this, &row](const error_code& cancelled)
        {
            if (!cancelled)
            {
                row.wake.reset();
                pump_soon(row);
            }
        });
}

void stage_caller::send_back(const std::vector<waiting_piece>& pieces,
                             stage_item_end end)
{
    for (const auto& row : pieces)
    {
        const auto client = row.order->client.lock();
        if (client)
        {
            client->piece_ended({row.order->stage, row.piece}, {end, {}});
        }
    }
}

asio::awaitable<void> stage_caller::make_call(server_row& row,
                                              std::vector<waiting_piece> pieces)
{
    const auto user = row.users;
    const auto server = row.server;
    const auto began = boot_clock::now();
    const auto limit = row.queue.call_limit(pieces.size());
    const call_result result = co_await exchange(server, pieces, limit);
    const auto now = boot_clock::now();
    const auto took = std::chrono::duration_cast<milliseconds>(now - began);
    std::uint64_t reserved = 0;
    for (const auto& piece : pieces)
    {
        reserved += piece.order->result_bytes;
    }
    const auto end = !result.answered ? call_end::lost
                     : result.shed    ? call_end::shed
                                      : call_end::answered;
    row.queue.call_ended(pieces.size(), reserved, took, end, now);
    router_.take_outlook(server->id, row.queue.outlook(now), now);
    log_call(row, pieces.size(), took, result);
    end_pieces(row, pieces, result);
    pump_soon(row);
}

asio::awaitable<stage_caller::call_result>
stage_caller::exchange(server_pointer server,
                       const std::vector<waiting_piece>& pieces,
                       milliseconds limit)
{
    std::vector<stage_call_item> items;
    const auto now = boot_clock::now();
    for (const auto& row : pieces)
    {
        const auto& order = *row.order;
        items.push_back(
            {order.request_id,
             {order.stage, row.piece},
             std::chrono::duration_cast<milliseconds>(order.deadline - now),
             order.piece_key,
             order.inputs});
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

void stage_caller::end_pieces(server_row& row,
                              const std::vector<waiting_piece>& pieces,
                              const call_result& result)
{
    static constexpr const char* names[] = {"made",    "late",   "no_input",
                                            "no_room", "failed", "unsent"};
    bool full = false;
    for (std::size_t i = 0; i < pieces.size(); ++i)
    {
        const auto& order = *pieces[i].order;
        stage_item_answer answer;
        if (i < result.items.size())
        {
            answer = result.items[i];
        }
        if (answer.end == stage_item_end::made)
        {
            row.queue.room().keep(answer.handle, order.result_bytes,
                                  boot_clock::now());
        }
        else
        {
            full = full || answer.end == stage_item_end::no_room;
            const std::string end = names[static_cast<std::size_t>(answer.end)];
            metrics_
                .counter("mangolink_stage_pieces_failed_total",
                         "service=\"" + order.service + "\",end=\"" + end +
                             "\"")
                .add();
            log_notice("stage", "Piece not made.",
                       {{"id", order.request_id},
                        {"service", order.service},
                        {"server", row.server ? row.server->id : "gone"},
                        {"stage", std::to_string(order.stage)},
                        {"piece", std::to_string(pieces[i].piece)},
                        {"end", end}});
        }
        const auto client = order.client.lock();
        if (client)
        {
            client->piece_ended({order.stage, pieces[i].piece},
                                std::move(answer));
        }
        else if (answer.end == stage_item_end::made)
        {
            release_({answer.handle});
        }
    }
    if (full)
    {
        // Nothing is sent until the server has told what is free.
        row.queue.room().observe_free(0, boot_clock::now());
        if (!row.room_asked)
        {
            row.room_asked = true;
            asio::co_spawn(io_, ask_room(row), asio::detached);
        }
    }
}

void stage_caller::log_call(const server_row& row, std::size_t pieces,
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

asio::awaitable<void> stage_caller::free_results(server_row& row)
{
    const auto user = row.users;
    co_await pause(io_, free_delay);
    row.free_pending = false;
    const auto handles = std::exchange(row.to_free, {});
    const auto server = row.server;
    if (!server)
    {
        co_return;
    }
    text_request request = protocol_.release_call(*server, handles);
    const auto answer =
        co_await calls_.call(server, std::move(request), free_limit);
    if (!answer)
    {
        co_return; // results that were not given up expire by themselves
    }
    for (const auto& handle : handles)
    {
        row.queue.room().release(handle);
    }
    pump_soon(row);
}

asio::awaitable<void> stage_caller::ask_room(server_row& row)
{
    const auto user = row.users;
    co_await pause(io_, room_question_delay);
    row.room_asked = false;
    const auto server = row.server;
    if (!server)
    {
        co_return;
    }
    text_request request = protocol_.room_question(*server);
    const auto answer =
        co_await calls_.call(server, std::move(request), free_limit);
    const auto free = answer && answer->result() == http::status::ok
                          ? protocol_.read_free_bytes(answer->body())
                          : std::nullopt;
    if (free)
    {
        row.queue.room().observe_free(*free, boot_clock::now());
    }
    log_notice("stage", "Room asked for.",
               {{"server", server->id},
                {"free_bytes", free ? std::to_string(*free) : "no answer"}});
    pump_after(row, milliseconds(0));
}

} // namespace mangolink
