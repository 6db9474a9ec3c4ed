#include "connection/stage_dispatcher.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "connection/backend_exchange.hpp"
#include "connection/failure_log.hpp"
#include "connection/forward_protocol.hpp"
#include "connection/listening_socket.hpp"
#include "connection/peer_call.hpp"
#include "connection/task_message.hpp"
#include "process/peer_directory.hpp"
#include "roles/gateway_settings.hpp"
#include "roles/gateway_state.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Time over which releases are collected into one call.
constexpr milliseconds release_batch_delay{10};
constexpr milliseconds release_timeout{1000};

void end_items(const stage_task& task, stage_item_outcome outcome)
{
    const auto client = task.client.lock();
    for (const auto item : client ? task.items : std::vector<std::uint32_t>())
    {
        client->item_ended({task.stage, item}, {outcome, {}});
    }
}

} // namespace

stage_dispatcher::stage_dispatcher(
    asio::io_context& io, const gateway_settings& settings,
    const forward_protocol& protocol, gateway_state& state,
    peer_directory& peers, backend_pool& connections, answer_listener listener,
    memory_budget& memory, metrics_registry& metrics)
    : io_(io), protocol_(protocol), state_(state), peers_(peers),
      metrics_(metrics),
      router_({settings.name, settings.zone, settings.own_region_zones()}),
      calls_(io, protocol, connections, nullptr, memory),
      server_calls_(io, protocol, connections, std::move(listener), memory),
      caller_(
          io, protocol, state, router_, server_calls_, metrics,
          [this](const std::vector<std::string>& handles) { release(handles); },
          [this](const backend_server& server)
          { return owner_of(server) == nullptr; })
{
}

stage_dispatcher::~stage_dispatcher() = default;

void stage_dispatcher::submit(std::shared_ptr<const stage_task> task)
{
    const auto* pool_parameters = state_.find_stage_pool(task->service);
    const auto server = pool_parameters == nullptr
                            ? nullptr
                            : router_.choose(state_.directory().groups().subset(
                                                 task->service, task->regions),
                                             *pool_parameters, demand_of(*task),
                                             boot_clock::now());
    if (!server)
    {
        end_items(*task, stage_item_outcome::failed);
        return;
    }
    const peer* owner = owner_of(*server);
    if (owner == nullptr)
    {
        caller_.enqueue(server->id, task);
        return;
    }
    router_.count_sent_items(server->id, task->items.size());
    asio::co_spawn(io_, send_task(std::move(task), server, *owner),
                   failure_log("stage task"));
}

const peer* stage_dispatcher::owner_of(const backend_server& server) const
{
    return peers_.owner_of(state_.directory().groups().group_of(server),
                           server.zone);
}

void stage_dispatcher::accept(const std::string& server,
                              const std::shared_ptr<const stage_task>& task)
{
    const auto expected = state_.directory().find(server);
    const auto* pool_parameters = state_.find_stage_pool(task->service);
    if (!expected || pool_parameters == nullptr)
    {
        caller_.enqueue(server, task); // returns the items as unsent
        return;
    }
    const auto chosen =
        router_.choose(state_.directory().groups().members(*expected),
                       *pool_parameters, demand_of(*task), boot_clock::now());
    caller_.enqueue(chosen ? chosen->id : server, task);
}

milliseconds stage_dispatcher::expected_time(const std::string& service,
                                             const stage_demand& demand) const
{
    const auto* pool_parameters = state_.find_stage_pool(service);
    const auto now = boot_clock::now();
    const auto server = pool_parameters == nullptr
                            ? nullptr
                            : router_.choose(state_.directory().groups().subset(
                                                 service, demand.regions),
                                             *pool_parameters, demand, now);
    return server
               ? router_.expected_time(*server, *pool_parameters, demand, now)
               : milliseconds(0);
}

void stage_dispatcher::release(const std::vector<std::string>& handles)
{
    to_release_.insert(to_release_.end(), handles.begin(), handles.end());
    if (!release_pending_ && !to_release_.empty())
    {
        release_pending_ = true;
        asio::co_spawn(io_, route_releases(), failure_log("stage releases"));
    }
}

void stage_dispatcher::update_load_report(const std::string& server,
                                          const server_load_report& load_report)
{
    router_.update_load_report(server, load_report, boot_clock::now());
    caller_.record_free_memory(server, load_report.free_bytes);
}

std::vector<named_load_report> stage_dispatcher::load_reports()
{
    auto all = caller_.load_reports();
    const auto now = boot_clock::now();
    std::erase_if(all, [this](const named_load_report& report)
                  { return owner_of(*report.server) != nullptr; });
    for (const auto& report : all)
    {
        router_.update_load_report(report.server->id, report.load_report, now);
    }
    return all;
}

void stage_dispatcher::topology_changed()
{
    for (const auto& task : open_tasks_)
    {
        const peer* owner = peers_.find(task->owner.name);
        const auto exchange = task->exchange.lock();
        const bool alive =
            owner != nullptr &&
            owner->process_incarnation == task->owner.process_incarnation;
        if (!alive && exchange)
        {
            exchange->abort();
        }
    }
    caller_.servers_changed();
}

stage_demand stage_dispatcher::demand_of(const stage_task& task) const
{
    stage_demand demand;
    demand.item_count = task.items.size();
    demand.result_bytes = task.result_bytes;
    demand.preferred_zone = task.preferred_zone;
    demand.preference = task.preference;
    demand.regions = task.regions;
    for (const auto& input : task.inputs)
    {
        const auto result_server =
            state_.directory().find_address(protocol_.result_server(input));
        if (result_server)
        {
            demand.inputs_in_zone[result_server->zone] +=
                task.input_bytes * task.items.size();
        }
    }
    return demand;
}

asio::awaitable<void>
stage_dispatcher::send_task(std::shared_ptr<const stage_task> task,
                            server_pointer server, peer owner)
{
    const auto limit =
        std::chrono::ceil<milliseconds>(task->deadline - boot_clock::now());
    text_request request = peer_request(
        owner, task_path, encode_task(*task, server->id, boot_clock::now()));
    auto to = to_backend_server(owner);
    const auto pending = std::make_shared<open_task>(open_task{owner, {}});
    open_tasks_.push_back(pending);
    const auto answer = co_await calls_.call(std::move(to), std::move(request),
                                             send_permit::unlimited(), limit,
                                             &pending->exchange);
    std::erase(open_tasks_, pending);
    if (handle_reply(*task, answer) || !task->wanted())
    {
        co_return;
    }
    if (boot_clock::now() >= task->deadline)
    {
        end_items(*task, stage_item_outcome::late);
        co_return;
    }
    metrics_.counter("mangolink_orders_taken_over_total").add();
    log_warning("stage", "Task sent again: the owner does not respond.",
                {{"id", task->request_id},
                 {"process", owner.name},
                 {"server", server->id}});
    peers_.suspect(owner.name);
    submit(std::move(task));
}

bool stage_dispatcher::handle_reply(const stage_task& task,
                                    const std::optional<text_response>& answer)
{
    const auto reports = answer && answer->result() == http::status::ok
                             ? decode_reply(answer->body())
                             : std::nullopt;
    if (!reports)
    {
        return false;
    }
    const auto client = task.client.lock();
    for (const auto& report : *reports)
    {
        if (client)
        {
            client->item_ended({task.stage, report.index}, report.answer);
        }
        else if (report.answer.end == stage_item_outcome::made)
        {
            release({report.answer.handle});
        }
    }
    return true;
}

asio::awaitable<void> stage_dispatcher::route_releases()
{
    co_await pause(io_, release_batch_delay);
    release_pending_ = false;
    const auto handles = std::exchange(to_release_, {});
    absl::flat_hash_map<std::string, std::vector<std::string>> by_server;
    for (const auto& handle : handles)
    {
        by_server[std::string(protocol_.result_server(handle))].push_back(
            handle);
    }
    for (auto& [address, list] : by_server)
    {
        const auto server = state_.directory().find_address(address);
        if (!server)
        {
            continue; // the results were lost with their server
        }
        const peer* owner = owner_of(*server);
        if (owner == nullptr)
        {
            caller_.enqueue_release(server->id, list);
        }
        else
        {
            asio::co_spawn(io_,
                           send_release(*owner, server->id, std::move(list)),
                           failure_log("stage release of a peer"));
        }
    }
}

asio::awaitable<void>
stage_dispatcher::send_release(peer owner, std::string server,
                               std::vector<std::string> handles)
{
    const release_message message{server, handles};
    text_request request =
        peer_request(owner, release_path, encode_release(message));
    auto to = to_backend_server(owner);
    const auto answer =
        co_await calls_.call(std::move(to), std::move(request),
                             send_permit::unlimited(), release_timeout);
    if (!answer)
    {
        caller_.enqueue_release(server, handles);
    }
}

} // namespace mangolink
