#include "connection/stage_dispatcher.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "connection/backend_connection.hpp"
#include "connection/backend_exchange.hpp"
#include "connection/backend_pool.hpp"
#include "connection/listening_socket.hpp"
#include "connection/order_message.hpp"
#include "connection/time_limit.hpp"
#include "process/peer_directory.hpp"
#include "roles/gateway_settings.hpp"
#include "roles/gateway_state.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Longest time to connect to a stage server or another process; a round
/// trip between regions takes some 25 ms.
constexpr milliseconds connect_limit{300};

/// How long results are collected before they are given up together.
constexpr milliseconds release_delay{10};
constexpr milliseconds release_limit{1000};
constexpr milliseconds room_question_delay{100};

/// A living process that takes longer than this many times what was expected,
/// and the reserve, does not answer on this connection. One that is silent is
/// given up at once.
constexpr int order_limit_factor = 3;
constexpr milliseconds order_reserve{1500};

std::shared_ptr<const backend_server> as_server(const peer& one)
{
    auto server = std::make_shared<backend_server>();
    server->id = one.name + "/" + one.started.text();
    server->address = one.address;
    server->zone = one.zone;
    return server;
}

text_request peer_request(const peer& to, const char* path, std::string body)
{
    text_request request(http::verb::post, path, 11);
    request.set(http::field::host, to.address.text());
    request.set(http::field::content_type, "application/x-protobuf");
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

} // namespace

stage_dispatcher::stage_dispatcher(asio::io_context& io,
                                   const gateway_settings& settings,
                                   const forward_protocol& protocol,
                                   gateway_state& state, peer_directory& peers,
                                   backend_pool& connections,
                                   metrics_registry& metrics)
    : io_(io), settings_(settings), protocol_(protocol), state_(state),
      peers_(peers), connections_(connections), metrics_(metrics),
      router_({settings.name, settings.zone, settings.own_region_zones()})
{
}

stage_dispatcher::~stage_dispatcher() = default;

void stage_dispatcher::submit(std::shared_ptr<const stage_order> order)
{
    const auto now = boot_clock::now();
    const auto* figures = figures_of(order->service);
    const auto server =
        figures == nullptr
            ? nullptr
            : router_.choose(state_.directory().servers(order->service),
                             *figures, demand_of(*order), now);
    if (!server)
    {
        std::vector<waiting_piece> pieces;
        for (const auto piece : order->pieces)
        {
            pieces.push_back({order, piece});
        }
        send_back(std::move(pieces), stage_item_end::failed);
        return;
    }
    const peer* maker = peers_.responsible(server->id, server->zone);
    if (maker == nullptr)
    {
        enqueue(server->id, std::move(order));
        return;
    }
    router_.count_sent(server->id, order->pieces.size());
    asio::co_spawn(io_, order_from(std::move(order), server, *maker),
                   asio::detached);
}

void stage_dispatcher::enqueue(const std::string& server,
                               std::shared_ptr<const stage_order> order)
{
    server_row* row = row_of(server);
    if (row == nullptr)
    {
        std::vector<waiting_piece> pieces;
        for (const auto piece : order->pieces)
        {
            pieces.push_back({order, piece});
        }
        send_back(std::move(pieces), stage_item_end::unsent);
        return;
    }
    row->queue.add(order);
    router_.take_outlook(server, row->queue.outlook(boot_clock::now()),
                         boot_clock::now());
    pump_soon(*row);
}

milliseconds stage_dispatcher::expected_time(const std::string& service,
                                             const stage_demand& demand) const
{
    const auto* figures = figures_of(service);
    const auto now = boot_clock::now();
    const auto server =
        figures == nullptr ? nullptr
                           : router_.choose(state_.directory().servers(service),
                                            *figures, demand, now);
    return server ? router_.expected_time(*server, *figures, demand, now)
                  : milliseconds(0);
}

void stage_dispatcher::release(const std::vector<std::string>& handles)
{
    to_release_.insert(to_release_.end(), handles.begin(), handles.end());
    if (!release_pending_ && !to_release_.empty())
    {
        release_pending_ = true;
        asio::co_spawn(io_, route_releases(), asio::detached);
    }
}

void stage_dispatcher::release_here(const std::string& server,
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

void stage_dispatcher::take_outlook(const std::string& server,
                                    const server_outlook& outlook)
{
    router_.take_outlook(server, outlook, boot_clock::now());
}

std::vector<named_outlook> stage_dispatcher::outlooks()
{
    std::vector<named_outlook> result;
    const auto now = boot_clock::now();
    for (auto& [id, row] : rows_)
    {
        const bool own =
            row->server && peers_.responsible(id, row->server->zone) == nullptr;
        const auto outlook = row->queue.outlook(now);
        if (own)
        {
            router_.take_outlook(id, outlook, now);
            result.push_back({id, outlook});
        }
    }
    return result;
}

bool stage_dispatcher::busy() const
{
    return std::any_of(rows_.begin(), rows_.end(),
                       [](const auto& row)
                       { return row.second->queue.busy(); });
}

void stage_dispatcher::pump_all()
{
    for (const auto& order : open_orders_)
    {
        const peer* maker = peers_.find(order->maker.name);
        const auto exchange = order->exchange.lock();
        const bool alive =
            maker != nullptr && maker->started == order->maker.started;
        if (!alive && exchange)
        {
            exchange->abort();
        }
    }
    for (auto& [id, row] : rows_)
    {
        row->server = state_.directory().find(id);
        pump_soon(*row);
    }
}

const stage_pool_figures*
stage_dispatcher::figures_of(const std::string& service) const
{
    const auto& configuration = state_.configuration();
    const auto* found =
        configuration ? configuration->find_service(service) : nullptr;
    return found != nullptr && found->pool ? &*found->pool : nullptr;
}

stage_demand stage_dispatcher::demand_of(const stage_order& order) const
{
    stage_demand demand;
    demand.pieces = order.pieces.size();
    demand.result_bytes = order.result_bytes;
    demand.preferred_zone = order.preferred_zone;
    demand.preference = order.preference;
    for (const auto& input : order.inputs)
    {
        const auto keeper =
            state_.directory().find_address(protocol_.keeper(input));
        if (keeper)
        {
            demand.inputs_in_zone[keeper->zone] +=
                order.input_bytes * order.pieces.size();
        }
    }
    return demand;
}

stage_dispatcher::server_row*
stage_dispatcher::row_of(const std::string& server)
{
    const auto found = rows_.find(server);
    if (found != rows_.end())
    {
        return found->second->server ? found->second.get() : nullptr;
    }
    const auto facts = state_.directory().find(server);
    const auto* figures = facts ? figures_of(facts->service) : nullptr;
    if (figures == nullptr)
    {
        return nullptr;
    }
    auto row = std::make_unique<server_row>(
        server_row{facts, stage_queue(*figures), {}, false, false, false, {}});
    return rows_.emplace(server, std::move(row)).first->second.get();
}

void stage_dispatcher::pump_soon(server_row& row)
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

void stage_dispatcher::pump(server_row& row)
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
    const auto* figures = figures_of(row.server->service);
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

bool stage_dispatcher::another_usable(const backend_server& server) const
{
    const auto now = boot_clock::now();
    const auto& all = state_.directory().servers(server.service);
    return std::any_of(all.begin(), all.end(),
                       [&](const auto& other) {
                           return other->id != server.id &&
                                  !router_.avoided(other->id, now);
                       });
}

void stage_dispatcher::pump_after(server_row& row, milliseconds time)
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
                pump_soon(row);
            }
        });
}

void stage_dispatcher::send_back(std::vector<waiting_piece> pieces,
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

asio::awaitable<void>
stage_dispatcher::make_call(server_row& row, std::vector<waiting_piece> pieces)
{
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

asio::awaitable<stage_dispatcher::call_result>
stage_dispatcher::exchange(server_pointer server,
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
    const auto answer = co_await call(server, std::move(request), limit);
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

void stage_dispatcher::end_pieces(server_row& row,
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
            release({answer.handle});
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

void stage_dispatcher::log_call(const server_row& row, std::size_t pieces,
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

asio::awaitable<void>
stage_dispatcher::order_from(std::shared_ptr<const stage_order> order,
                             server_pointer server, peer maker)
{
    const auto now = boot_clock::now();
    const auto* figures = figures_of(order->service);
    const auto expected =
        figures == nullptr
            ? milliseconds(0)
            : router_.expected_time(*server, *figures, demand_of(*order), now);
    const auto left =
        std::chrono::duration_cast<milliseconds>(order->deadline - now);
    const auto limit =
        std::min(left, expected * order_limit_factor + order_reserve);
    text_request request =
        peer_request(maker, order_path, encode_order(*order, server->id, now));
    auto to = as_server(maker);
    const auto open = std::make_shared<open_order>(open_order{maker, {}});
    open_orders_.push_back(open);
    const auto answer = co_await call(std::move(to), std::move(request), limit,
                                      &open->exchange);
    std::erase(open_orders_, open);
    const auto client = order->client.lock();
    const auto reports = answer && answer->result() == http::status::ok
                             ? decode_reply(answer->body())
                             : std::nullopt;
    if (reports)
    {
        for (const auto& report : *reports)
        {
            if (client)
            {
                client->piece_ended({order->stage, report.piece},
                                    report.answer);
            }
            else if (report.answer.end == stage_item_end::made)
            {
                release({report.answer.handle});
            }
        }
        co_return;
    }
    if (!client || !client->wants_pieces())
    {
        co_return;
    }
    metrics_.counter("mangolink_orders_taken_over_total").add();
    log_warning("stage", "Order taken over: the responsible process is silent.",
                {{"id", order->request_id},
                 {"process", maker.name},
                 {"server", server->id},
                 {"limit_ms", std::to_string(limit.count())}});
    enqueue(server->id, order);
}

asio::awaitable<void> stage_dispatcher::route_releases()
{
    co_await pause(io_, release_delay);
    release_pending_ = false;
    const auto handles = std::exchange(to_release_, {});
    absl::flat_hash_map<std::string, std::vector<std::string>> by_keeper;
    for (const auto& handle : handles)
    {
        by_keeper[std::string(protocol_.keeper(handle))].push_back(handle);
    }
    for (auto& [address, list] : by_keeper)
    {
        const auto server = state_.directory().find_address(address);
        if (!server)
        {
            continue; // results do not outlive their server
        }
        const peer* maker = peers_.responsible(server->id, server->zone);
        if (maker == nullptr)
        {
            release_here(server->id, list);
        }
        else
        {
            asio::co_spawn(io_, release_at(*maker, server->id, std::move(list)),
                           asio::detached);
        }
    }
}

asio::awaitable<void>
stage_dispatcher::release_at(peer maker, std::string server,
                             std::vector<std::string> handles)
{
    const release_message message{server, handles};
    text_request request =
        peer_request(maker, release_path, encode_release(message));
    auto to = as_server(maker);
    const auto answer =
        co_await call(std::move(to), std::move(request), release_limit);
    if (!answer)
    {
        release_here(server, handles);
    }
}

asio::awaitable<void> stage_dispatcher::free_results(server_row& row)
{
    co_await pause(io_, release_delay);
    row.free_pending = false;
    const auto handles = std::exchange(row.to_free, {});
    const auto server = row.server;
    if (!server)
    {
        co_return;
    }
    text_request request = protocol_.release_call(*server, handles);
    const auto answer =
        co_await call(server, std::move(request), release_limit);
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

asio::awaitable<void> stage_dispatcher::ask_room(server_row& row)
{
    // The report lags a little; releases under way are in it after that.
    co_await pause(io_, room_question_delay);
    row.room_asked = false;
    const auto server = row.server;
    if (!server)
    {
        co_return;
    }
    text_request request = protocol_.room_question(*server);
    const auto answer =
        co_await call(server, std::move(request), release_limit);
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

asio::awaitable<std::optional<text_response>>
stage_dispatcher::call(server_pointer to, text_request request,
                       milliseconds limit,
                       std::weak_ptr<backend_exchange>* running)
{
    const auto lease = co_await connections_.acquire(to, connect_limit);
    if (!lease.connection)
    {
        co_return std::nullopt;
    }
    auto current = std::make_shared<backend_exchange>(
        lease.connection, protocol_, std::move(request), std::string());
    if (running != nullptr)
    {
        *running = current;
    }
    const time_limit guard(io_, limit, [current] { current->abort(); });
    bool open = co_await current->begin();
    text_response answer;
    while (open && !current->complete())
    {
        open = co_await current->read_some(answer.body());
    }
    if (!open)
    {
        current->abort();
        co_return std::nullopt;
    }
    if (current->reusable())
    {
        connections_.release(to->id, current->connection(),
                             current->facts().keep_alive);
    }
    answer.base() = current->head();
    co_return answer;
}

} // namespace mangolink
