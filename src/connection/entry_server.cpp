#include "connection/entry_server.hpp"

#include "base/log.hpp"
#include "connection/http_exchange.hpp"
#include "connection/platform_reader.hpp"
#include "wire/mangolink.pb.h"

#include <nlohmann/json.hpp>
#include <zmq.h>

namespace mangolink
{
namespace
{

constexpr milliseconds max_poll_wait{1000};
constexpr int max_messages_per_iteration = 512;

std::string route_of(member_id id)
{
    return "m" + std::to_string(static_cast<std::uint32_t>(id));
}

member_id member_of(const std::string& route)
{
    return static_cast<member_id>(std::stoul(route.substr(1)));
}

request_id new_request_id()
{
    thread_local absl::BitGen source;
    return request_id::random(source);
}

microseconds elapsed_since(boot_clock::time_point start)
{
    return std::chrono::duration_cast<microseconds>(boot_clock::now() - start);
}

} // namespace

entry_server::entry_server(entry_settings settings)
    : settings_(std::move(settings)),
      first_token_(metrics_.histogram("mangolink_first_token_seconds")),
      refusal_time_(metrics_.histogram("mangolink_refusal_seconds")),
      store_(audit_trail_),
      core_(settings_.core, incarnation_, store_, random_, *this),
      api_({settings_.max_deadline}), router_({.route = incarnation_.text()})
{
    metrics_.gauge("mangolink_peer_sent_bytes", [this]
                   { return static_cast<double>(router_.sent_bytes()); });
    metrics_.gauge("mangolink_peer_received_bytes", [this]
                   { return static_cast<double>(router_.received_bytes()); });
    metrics_.gauge("mangolink_requests_in_flight",
                   [this] { return static_cast<double>(in_flight_); });
    metrics_.gauge("mangolink_configuration_number", [this]
                   { return static_cast<double>(store_.position().number); });
    thread_ = std::thread([this] { run_loop(); });
    start_platform_reader();
    caller_server_ = std::make_unique<http_server>(
        http_server_settings{.address = settings_.listen,
                             .threads = settings_.http_threads,
                             .max_connections = settings_.max_connections,
                             .max_body = settings_.max_body,
                             .read_limit = settings_.read_limit,
                             .make_timeout_response =
                                 []
                             {
                                 return caller_api::error_response(
                                     new_request_id(),
                                     {result_code::request_too_slow, {}});
                             }},
        [this](const std::shared_ptr<http_exchange>& exchange)
        { on_request(exchange); });
    admin_server_ = std::make_unique<admin_server>(
        settings_.instance.admin_address, settings_.instance.admin_key,
        admin_routes());
    log_notice(
        "entry", "Entry started.",
        {{"listen", settings_.listen}, {"incarnation", incarnation_.text()}});
}

entry_server::~entry_server()
{
    admin_server_.reset();
    caller_server_->stop_accepting();
    caller_server_.reset();
    platform_reader_.reset();
    stopping_ = true;
    commands_.push([] {});
    thread_.join();
    log_notice("entry", "Entry stopped.");
}

bool entry_server::drained() const
{
    return caller_server_->active() == 0 && in_flight_ == 0;
}

bool entry_server::send(member_id to, wire::envelope& message)
{
    const auto route = routes_.find(static_cast<std::uint32_t>(to));
    if (route == routes_.end())
    {
        return false;
    }
    send_buffer_.clear();
    message.AppendToString(&send_buffer_);
    return router_.send(route->second, send_buffer_);
}

void entry_server::deliver(const request_id& id, std::string_view text)
{
    const auto found = open_requests_.find(id);
    if (found == open_requests_.end())
    {
        return;
    }
    open_request& open = found->second;
    if (!open.stream_begun)
    {
        open.stream_begun = true;
        first_token_.add(elapsed_since(open.received));
        http_response head = caller_api::stream_head(id);
        head.body = caller_api::token_event(text);
        open.exchange->begin_stream(std::move(head));
        return;
    }
    if (open.buffered_events.empty())
    {
        requests_to_flush_.push_back(id);
    }
    open.buffered_events += caller_api::token_event(text);
}

void entry_server::finish(const request_id& id, run_result result)
{
    const auto found = open_requests_.find(id);
    if (found == open_requests_.end())
    {
        return;
    }
    open_request open = std::move(found->second);
    open_requests_.erase(found);
    --in_flight_;
    count_result(open, result);
    log_result(id, open, result);
    if (!open.streamed || !open.stream_begun)
    {
        open.exchange->respond(caller_api::result_response(id, result));
        return;
    }
    open.buffered_events += caller_api::outcome_event(id, result);
    open.exchange->write(open.buffered_events);
    open.exchange->finish();
}

void entry_server::connect(member_id id, const std::string& address)
{
    const std::string route = route_of(id);
    routes_[static_cast<std::uint32_t>(id)] = route;
    router_.connect(address, route);
}

void entry_server::disconnect(member_id id, const std::string& address)
{
    routes_.erase(static_cast<std::uint32_t>(id));
    router_.disconnect(address);
}

void entry_server::on_request(const std::shared_ptr<http_exchange>& exchange)
{
    const auto now = boot_clock::now();
    const request_id id = new_request_id();
    if (draining_ || exchange->too_large())
    {
        reject_request(
            exchange, id,
            {draining_ ? result_code::leaving : result_code::body_too_large,
             {}});
        return;
    }
    auto parsed = api_.parse(exchange->request(), store_.current(), id, now);
    if (const auto* error = std::get_if<request_error>(&parsed))
    {
        reject_request(exchange, id, *error);
        return;
    }
    if (auto* wanted = std::get_if<key_request>(&parsed))
    {
        commands_.push([this, exchange, wanted = std::move(*wanted)]
                       { issue_key(exchange, wanted); });
        return;
    }
    ++in_flight_;
    commands_.push([this, exchange, now,
                    run = std::make_shared<run_request>(
                        std::get<run_request>(std::move(parsed)))]
                   { start_request(exchange, std::move(*run), now); });
}

void entry_server::start_request(const std::shared_ptr<http_exchange>& exchange,
                                 run_request request,
                                 boot_clock::time_point received)
{
    const request_id id = request.id;
    open_request open;
    open.exchange = exchange;
    open.pipeline = request.selected_pipeline->name;
    open.received = received;
    open.streamed = request.streamed;
    open_requests_.emplace(id, std::move(open));
    exchange->set_disconnect_handler(
        [this, id] {
            commands_.push([this, id]
                           { core_.caller_gone(id, boot_clock::now()); });
        });
    core_.start(std::move(request), boot_clock::now());
}

void entry_server::issue_key(const std::shared_ptr<http_exchange>& exchange,
                             const key_request& wanted)
{
    const auto issued =
        core_.issue_key(*wanted.selected_pipeline,
                        std::chrono::system_clock::now(), boot_clock::now());
    if (issued.code != result_code::complete)
    {
        reject_request(exchange, new_request_id(),
                       {issued.code, wanted.selected_pipeline->name});
        return;
    }
    exchange->respond(json_response({{"idempotency_key", issued.key}}));
}

void entry_server::reject_request(
    const std::shared_ptr<http_exchange>& exchange, const request_id& id,
    const request_error& error)
{
    metrics_
        .counter("mangolink_requests_total",
                 "pipeline=\"\",code=\"" +
                     std::string(describe(error.code).name) + "\"")
        .add();
    http_response response = caller_api::error_response(id, error);
    if (error.code == result_code::leaving ||
        error.code == result_code::body_too_large)
    {
        response.headers.push_back({"Connection", "close"});
    }
    exchange->respond(std::move(response));
}

void entry_server::count_result(const open_request& open,
                                const run_result& result)
{
    const std::string pipeline = metric_label("pipeline", open.pipeline);
    const std::string labels =
        pipeline + "," + metric_label("code", describe(result.code).name);
    metrics_.counter("mangolink_requests_total", labels).add();
    if (result.end == outcome::complete)
    {
        metrics_.histogram("mangolink_request_seconds", pipeline)
            .add(elapsed_since(open.received));
    }
    else if (result.end == outcome::not_run)
    {
        refusal_time_.add(elapsed_since(open.received));
    }
}

void entry_server::log_result(const request_id& id, const open_request& open,
                              const run_result& result)
{
    if (!log_enabled(log_level::detail))
    {
        return;
    }
    log_detail("entry", "Request ended.",
               {{"request", id.text()},
                {"pipeline", open.pipeline},
                {"code", std::string(describe(result.code).name)},
                {"outcome", std::string(outcome_name(result.end))}});
}

void entry_server::run_loop()
{
    while (!stopping_)
    {
        zmq_pollitem_t items[2] = {
            {router_.socket(), 0, ZMQ_POLLIN, 0},
            {nullptr, commands_.descriptor(), ZMQ_POLLIN, 0}};
        zmq_poll(items, 2, poll_timeout(boot_clock::now()).count());
        if ((items[1].revents & ZMQ_POLLIN) != 0)
        {
            commands_.run_all();
        }
        receive_messages();
        const auto now = boot_clock::now();
        core_.on_time(now);
        flush_streams(now);
    }
}

void entry_server::receive_messages()
{
    wire::envelope message;
    const auto now = boot_clock::now();
    for (int i = 0; i < max_messages_per_iteration; ++i)
    {
        const auto received = router_.receive();
        if (!received)
        {
            return;
        }
        if (message.ParseFromString(received->bytes))
        {
            core_.on_message(member_of(received->route), message, now);
        }
    }
}

void entry_server::flush_streams(boot_clock::time_point now)
{
    if (requests_to_flush_.empty() ||
        now - last_flush_ < settings_.stream_interval)
    {
        return;
    }
    last_flush_ = now;
    for (const auto& id : requests_to_flush_)
    {
        const auto found = open_requests_.find(id);
        if (found != open_requests_.end())
        {
            flush_events(found->second);
        }
    }
    requests_to_flush_.clear();
}

void entry_server::flush_events(open_request& open)
{
    open.exchange->write(open.buffered_events);
    open.buffered_events.clear();
}

milliseconds entry_server::poll_timeout(boot_clock::time_point now) const
{
    auto until = std::min(core_.next_time(), now + max_poll_wait);
    if (!requests_to_flush_.empty())
    {
        until = std::min(until, last_flush_ + settings_.stream_interval);
    }
    if (until <= now)
    {
        return milliseconds(0);
    }
    return std::chrono::ceil<milliseconds>(until - now);
}

void entry_server::start_platform_reader()
{
    platform_reader_events events = store_update_events(
        commands_, store_, [this] { core_.configuration_changed(); });
    events.on_instances = [this](const std::vector<instance_entry>& instances)
    {
        std::vector<std::string> leaving;
        for (const auto& instance : instances)
        {
            if (instance.leaving)
            {
                leaving.push_back(instance.name);
            }
        }
        commands_.push([this, leaving = std::move(leaving)]
                       { core_.mark_instances_leaving(leaving); });
    };
    platform_reader_ = std::make_unique<platform_reader>(
        platform_reader_settings::of(settings_.instance), std::move(events));
}

} // namespace mangolink
