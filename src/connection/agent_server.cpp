#include "connection/agent_server.hpp"

#include "base/log.hpp"
#include "connection/admin_responses.hpp"
#include "connection/common_admin_routes.hpp"
#include "connection/http_exchange.hpp"
#include "connection/platform_reader.hpp"
#include "wire/mangolink.pb.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mangolink
{
namespace
{

constexpr milliseconds max_poll_wait{500};
constexpr int max_messages_per_iteration = 512;

agent_time current_time()
{
    return {boot_clock::now(), std::chrono::system_clock::now()};
}

} // namespace

agent_server::agent_server(agent_settings settings)
    : settings_(std::move(settings)),
      calls_started_(metrics_.counter("mangolink_backend_calls_started_total")),
      calls_ended_(metrics_.counter("mangolink_backend_calls_ended_total")),
      store_(audit_trail_), core_(settings_.core, incarnation_, store_, *this),
      router_({.route = incarnation_.text()}),
      backend_({.base_url = "http://" + settings_.backend_address,
                .max_connections = static_cast<long>(settings_.core.limit)},
               {[this](call_id id, std::string text, std::uint32_t tokens) {
                    core_.on_call_data(id, std::move(text), tokens,
                                       boot_clock::now());
                },
                [this](call_id id, const backend_answer& answer)
                {
                    calls_ended_.add();
                    core_.on_call_ended(id, answer, current_time());
                }})
{
    metrics_.gauge("mangolink_peer_sent_bytes", [this]
                   { return static_cast<double>(router_.sent_bytes()); });
    metrics_.gauge("mangolink_peer_received_bytes", [this]
                   { return static_cast<double>(router_.received_bytes()); });
    metrics_.gauge("mangolink_calls_running",
                   [this] { return static_cast<double>(running_); });
    metrics_.gauge("mangolink_calls_queued",
                   [this] { return static_cast<double>(queued_); });
    router_.bind(settings_.listen);
    thread_ = std::thread([this] { run_loop(); });
    start_platform_reader();
    admin_server_ = std::make_unique<admin_server>(
        settings_.instance.admin_address, settings_.instance.admin_key,
        common_admin_routes({commands_, store_, audit_trail_, metrics_,
                             [this] { begin_drain(); },
                             [this] { return status_response(); }}));
    log_notice("agent", "Agent started.",
               {{"listen", settings_.listen},
                {"server", settings_.core.server},
                {"incarnation", incarnation_.text()}});
}

agent_server::~agent_server()
{
    admin_server_.reset();
    platform_reader_.reset();
    stopping_ = true;
    commands_.push([] {});
    thread_.join();
    log_notice("agent", "Agent stopped.");
}

void agent_server::begin_drain()
{
    if (!draining_.exchange(true))
    {
        commands_.push([this] { core_.begin_leaving(); });
    }
}

void agent_server::send(const std::string& route, wire::envelope& message)
{
    send_buffer_.clear();
    message.AppendToString(&send_buffer_);
    if (!router_.send(route, send_buffer_))
    {
        log_detail(
            "agent",
            "Message not sent: entry is not connected or its queue is full.",
            {{"route", route}});
    }
}

void agent_server::start_call(backend_call call)
{
    calls_started_.add();
    backend_.start(call);
}

void agent_server::cancel_call(call_id id)
{
    backend_.cancel(id);
}

void agent_server::run_loop()
{
    while (!stopping_)
    {
        commands_.run_all();
        const bool busy = receive_messages();
        backend_.perform();
        core_.on_time(current_time());
        publish_state();
        // The router's descriptor is edge-triggered, and a send consumes its
        // event: nothing may be sent between this check and the wait.
        const bool idle = !busy && !router_.readable();
        backend_.wait(router_.descriptor(), commands_.descriptor(),
                      idle ? max_poll_wait : milliseconds(0));
    }
}

bool agent_server::receive_messages()
{
    wire::envelope message;
    for (int i = 0; i < max_messages_per_iteration; ++i)
    {
        const auto received = router_.receive();
        if (!received)
        {
            return i > 0;
        }
        if (message.ParseFromString(received->bytes))
        {
            core_.on_message(received->route, message, current_time());
        }
    }
    return true;
}

void agent_server::publish_state()
{
    running_ = core_.running();
    queued_ = core_.queued();
    drained_ = core_.state() == agent_state::leaving && core_.drained();
}

http_response agent_server::status_response()
{
    const auto position = store_.position();
    return json_response({{"role", "agent"},
                          {"instance", settings_.instance.name},
                          {"server", settings_.core.server},
                          {"zone", settings_.instance.zone},
                          {"region", settings_.instance.region},
                          {"incarnation", incarnation_.text()},
                          {"configuration_number", position.number},
                          {"configuration_digest", position.digest},
                          {"running", core_.running()},
                          {"queued", core_.queued()},
                          {"limit", settings_.core.limit},
                          {"draining", draining_.load()}});
}

void agent_server::start_platform_reader()
{
    platform_reader_events events = store_update_events(
        commands_, store_, [this] { core_.announce_configuration(); });
    events.on_instances = [this](const std::vector<instance_entry>& instances)
    {
        const bool leaving =
            std::any_of(instances.begin(), instances.end(),
                        [this](const instance_entry& instance) {
                            return instance.leaving &&
                                   instance.name == settings_.instance.name;
                        });
        if (leaving)
        {
            begin_drain();
        }
    };
    platform_reader_ = std::make_unique<platform_reader>(
        platform_reader_settings::of(settings_.instance), std::move(events));
}

} // namespace mangolink
