#include "connection/stage_dispatcher.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "connection/backend_connection.hpp"
#include "connection/backend_exchange.hpp"
#include "connection/backend_pool.hpp"
#include "connection/time_limit.hpp"
#include "roles/gateway_settings.hpp"
#include "roles/gateway_state.hpp"

namespace mangolink
{
namespace
{

/// Longest time to connect to a stage server; a round trip between regions
/// takes some 25 ms.
constexpr milliseconds connect_limit{400};

/// How long results are collected before they are given up together.
constexpr milliseconds release_delay{60};

constexpr milliseconds release_limit{1000};

std::string call_text(std::size_t pieces, milliseconds took)
{
    return std::to_string(pieces) + " pieces in " +
           std::to_string(took.count()) + " ms";
}

} // namespace

stage_dispatcher::stage_dispatcher(asio::io_context& io,
                                   const gateway_settings& settings,
                                   const forward_protocol& protocol,
                                   gateway_state& state,
                                   backend_pool& connections,
                                   metrics_registry& metrics)
    : io_(io), settings_(settings), protocol_(protocol), state_(state),
      connections_(connections), metrics_(metrics)
{
}

stage_dispatcher::~stage_dispatcher() = default;

void stage_dispatcher::enroll(std::uint64_t run,
                              std::weak_ptr<stage_client> client)
{
    clients_[run] = std::move(client);
}

void stage_dispatcher::withdraw(std::uint64_t run)
{
    clients_.erase(run);
    for (auto& [service, row] : pools_)
    {
        row->scheduler.remove_run(run);
    }
}

void stage_dispatcher::add(const std::string& service, waiting_piece piece)
{
    pool* row = pool_of(service);
    if (row == nullptr)
    {
        const auto client = clients_[piece.run].lock();
        if (client)
        {
            client->piece_ended(piece.piece, {stage_item_end::failed, {}});
        }
        return;
    }
    row->scheduler.add(piece);
    // Pieces of one request arrive one by one; the call is made after them.
    arm(*row);
}

milliseconds stage_dispatcher::expected_time(const std::string& service)
{
    pool* row = pool_of(service);
    return row == nullptr ? milliseconds(0)
                          : row->scheduler.expected_time(
                                state_.directory().servers(service).size());
}

void stage_dispatcher::release(const std::vector<std::string>& handles)
{
    for (const auto& handle : handles)
    {
        to_release_[std::string(protocol_.keeper(handle))].push_back(handle);
    }
    if (!release_pending_ && !handles.empty())
    {
        release_pending_ = true;
        asio::co_spawn(io_, flush_releases(), asio::detached);
    }
}

void stage_dispatcher::pump_all()
{
    for (auto& [service, row] : pools_)
    {
        pump(*row);
    }
}

stage_dispatcher::pool* stage_dispatcher::pool_of(const std::string& service)
{
    const auto& configuration = state_.configuration();
    const auto* figures =
        configuration ? configuration->find_service(service) : nullptr;
    const auto found = pools_.find(service);
    if (found != pools_.end())
    {
        if (figures != nullptr && figures->pool)
        {
            found->second->scheduler.configure(*figures->pool);
        }
        return found->second.get();
    }
    if (figures == nullptr || !figures->pool)
    {
        return nullptr;
    }
    const std::string label = "service=\"" + service + "\"";
    auto row = std::make_unique<pool>(pool{
        service,
        stage_pool_scheduler(*figures->pool, {settings_.name, settings_.zone,
                                              settings_.own_region_zones()}),
        asio::steady_timer(io_),
        metrics_.counter("mangolink_stage_calls_total", label),
        metrics_.counter("mangolink_stage_pieces_total", label),
        metrics_.counter("mangolink_stage_failures_total", label)});
    return pools_.emplace(service, std::move(row)).first->second.get();
}

void stage_dispatcher::pump(pool& row)
{
    const auto now = boot_clock::now();
    for (const auto& piece : row.scheduler.take_expired(now))
    {
        const auto client = clients_[piece.run].lock();
        if (client)
        {
            client->piece_ended(piece.piece, {stage_item_end::late, {}});
        }
    }
    const auto& servers = state_.directory().servers(row.service);
    while (auto call = row.scheduler.next(servers, now))
    {
        asio::co_spawn(io_, make_call(row.service, std::move(*call)),
                       asio::detached);
    }
    const auto wake = row.scheduler.next_time();
    if (wake)
    {
        constexpr milliseconds least{20};
        const auto wait = std::chrono::duration_cast<milliseconds>(*wake - now);
        row.timer.expires_after(std::max(wait, least));
        row.timer.async_wait(
            [this, &row](const error_code& cancelled)
            {
                if (!cancelled)
                {
                    pump(row);
                }
            });
    }
}

void stage_dispatcher::arm(pool& row)
{
    row.timer.expires_after(milliseconds(0));
    row.timer.async_wait(
        [this, &row](const error_code& cancelled)
        {
            if (!cancelled)
            {
                pump(row);
            }
        });
}

asio::awaitable<void> stage_dispatcher::make_call(std::string service,
                                                  planned_call call)
{
    pool& row = *pools_.at(service);
    std::vector<stage_call_item> items;
    std::vector<waiting_piece> wanted;
    for (const auto& piece : call.pieces)
    {
        const auto client = clients_[piece.run].lock();
        auto item = client ? client->call_item(piece.piece) : std::nullopt;
        const bool allowed = !piece.sent_before ||
                             state_.allowance(service).take(boot_clock::now());
        if (item && allowed)
        {
            items.push_back(std::move(*item));
            wanted.push_back(piece);
        }
        else if (client)
        {
            client->piece_ended(piece.piece, {stage_item_end::late, {}});
        }
    }
    call.pieces = std::move(wanted);
    const auto began = boot_clock::now();
    call_result result;
    result.answered = true;
    if (!items.empty())
    {
        result = co_await exchange(call, std::move(items));
    }
    const auto now = boot_clock::now();
    const auto took = std::chrono::duration_cast<milliseconds>(now - began);
    row.scheduler.call_ended(call.server->id, call.pieces.size(), took,
                             result.load, result.answered, now);
    row.calls.add();
    row.pieces.add(call.pieces.size());
    if (!result.answered || result.shed)
    {
        row.failures.add();
        log_warning("stage", "Call failed.",
                    {{"service", service},
                     {"server", call.server->id},
                     {"call", call_text(call.pieces.size(), took)},
                     {"outcome", result.shed ? "no room" : "no answer"}});
    }
    else if (log_enabled(log_level::detail))
    {
        log_detail("stage", "Call ended.",
                   {{"service", service},
                    {"server", call.server->id},
                    {"call", call_text(call.pieces.size(), took)}});
    }
    end_pieces(row, call, result);
    pump(row);
}

asio::awaitable<stage_dispatcher::call_result>
stage_dispatcher::exchange(const planned_call& call,
                           std::vector<stage_call_item> items)
{
    call_result result;
    const auto lease =
        co_await connections_.acquire(call.server, connect_limit);
    if (!lease.connection)
    {
        co_return result;
    }
    auto current = std::make_shared<backend_exchange>(
        lease.connection, protocol_, protocol_.stage_call(*call.server, items),
        std::string());
    const time_limit guard(io_, call.limit, [current] { current->abort(); });
    if (!co_await current->begin())
    {
        co_return result;
    }
    std::string body;
    while (!current->complete())
    {
        if (!co_await current->read_some(body))
        {
            co_return result;
        }
    }
    const auto& facts = current->facts();
    result.load = facts.load;
    result.shed = facts.proven_not_run;
    if (current->reusable())
    {
        connections_.release(call.server->id, current->connection(),
                             facts.keep_alive);
    }
    if (current->head().result() == http::status::ok)
    {
        result.items = protocol_.read_stage_answer(body, items.size());
    }
    result.answered = result.shed || !result.items.empty();
    co_return result;
}

void stage_dispatcher::end_pieces(pool& row, const planned_call& call,
                                  const call_result& result)
{
    static constexpr const char* names[] = {"made", "late", "no_input",
                                            "no_room", "failed"};
    for (std::size_t i = 0; i < call.pieces.size(); ++i)
    {
        const auto& piece = call.pieces[i];
        stage_item_answer answer;
        if (i < result.items.size())
        {
            answer = result.items[i];
        }
        if (answer.end != stage_item_end::made)
        {
            const std::string end = names[static_cast<std::size_t>(answer.end)];
            metrics_
                .counter("mangolink_stage_pieces_failed_total",
                         "service=\"" + row.service + "\",end=\"" + end + "\"")
                .add();
            log_notice("stage", "Piece not made.",
                       {{"run", std::to_string(piece.run)},
                        {"service", row.service},
                        {"server", call.server->id},
                        {"stage", std::to_string(piece.piece.stage)},
                        {"end", end}});
        }
        const auto found = clients_.find(piece.run);
        const auto client =
            found == clients_.end() ? nullptr : found->second.lock();
        if (client)
        {
            client->piece_ended(piece.piece, std::move(answer));
        }
        else if (answer.end == stage_item_end::made)
        {
            release({answer.handle});
        }
    }
}

asio::awaitable<void> stage_dispatcher::flush_releases()
{
    asio::steady_timer timer(io_, release_delay);
    error_code ignored; // the timer is never cancelled
    co_await timer.async_wait(into(ignored));
    release_pending_ = false;
    const auto batch = std::exchange(to_release_, {});
    for (const auto& [address, handles] : batch)
    {
        auto server = state_.directory().find_address(address);
        if (server)
        {
            asio::co_spawn(io_, release_at(std::move(server), handles),
                           asio::detached);
        }
    }
}

asio::awaitable<void>
stage_dispatcher::release_at(std::shared_ptr<const backend_server> server,
                             std::vector<std::string> handles)
{
    const auto lease = co_await connections_.acquire(server, connect_limit);
    if (!lease.connection)
    {
        co_return; // results that are not given up expire by themselves
    }
    auto current = std::make_shared<backend_exchange>(
        lease.connection, protocol_, protocol_.release_call(*server, handles),
        "");
    const time_limit guard(io_, release_limit, [current] { current->abort(); });
    std::string body;
    bool open = co_await current->begin();
    while (open && !current->complete())
    {
        open = co_await current->read_some(body);
    }
    if (current->reusable())
    {
        connections_.release(server->id, current->connection(),
                             current->facts().keep_alive);
    }
}

} // namespace mangolink
