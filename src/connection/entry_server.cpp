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

constexpr milliseconds longest_wait{1000};
constexpr int messages_per_turn = 512;

std::string route_of(member_id id)
{
    return "m" + std::to_string(static_cast<std::uint32_t>(id));
}

member_id member_of(const std::string& route)
{
    return static_cast<member_id>(std::stoul(route.substr(1)));
}

request_id fresh_id()
{
    thread_local absl::BitGen source;
    return request_id::random(source);
}

microseconds since(boot_clock::time_point start)
{
    return std::chrono::duration_cast<microseconds>(boot_clock::now() - start);
}

} // namespace

entry_server::entry_server(entry_settings settings)
    : settings_(std::move(settings)),
      first_token_(metrics_.histogram("mangolink_first_token_seconds")),
      refusal_time_(metrics_.histogram("mangolink_refusal_seconds")),
      store_(trail_), core_(settings_.core, own_, store_, random_, *this),
      api_({settings_.max_deadline}), router_({.route = own_.text()})
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
    callers_ = std::make_unique<http_server>(
        http_server_settings{.address = settings_.listen,
                             .threads = settings_.http_threads,
                             .max_connections = settings_.max_connections,
                             .max_body = settings_.max_body,
                             .read_limit = settings_.read_limit,
                             .slow_answer =
                                 []
                             {
                                 return caller_api::error_answer(
                                     fresh_id(),
                                     {result_code::request_too_slow, {}});
                             }},
        [this](const std::shared_ptr<http_exchange>& exchange)
        { on_request(exchange); });
    admin_ = std::make_unique<admin_server>(settings_.instance.admin_address,
                                            settings_.instance.admin_key,
                                            admin_routes());
    log_notice("entry", "Entry started.",
               {{"listen", settings_.listen}, {"incarnation", own_.text()}});
}

entry_server::~entry_server()
{
    admin_.reset();
    callers_->stop_accepting();
    callers_.reset();
    platform_.reset();
    stopping_ = true;
    commands_.push([] {});
    thread_.join();
    log_notice("entry", "Entry stopped.");
}

bool entry_server::drained() const
{
    return callers_->active() == 0 && in_flight_ == 0;
}

bool entry_server::send(member_id to, wire::envelope& message)
{
    const auto route = routes_.find(static_cast<std::uint32_t>(to));
    if (route == routes_.end())
    {
        return false;
    }
    buffer_.clear();
    message.AppendToString(&buffer_);
    return router_.send(route->second, buffer_);
}

void entry_server::deliver(const request_id& id, std::string_view text)
{
    const auto found = open_.find(id);
    if (found == open_.end())
    {
        return;
    }
    open_request& row = found->second;
    if (!row.stream_begun)
    {
        row.stream_begun = true;
        first_token_.add(since(row.received));
        http_answer head = caller_api::stream_head(id);
        head.body = caller_api::token_event(text);
        row.exchange->begin_stream(std::move(head));
        return;
    }
    if (row.held.empty())
    {
        held_.push_back(id);
    }
    row.held += caller_api::token_event(text);
}

void entry_server::finish(const request_id& id, run_result result)
{
    const auto found = open_.find(id);
    if (found == open_.end())
    {
        return;
    }
    open_request row = std::move(found->second);
    open_.erase(found);
    --in_flight_;
    count_end(row, result);
    log_end(id, row, result);
    if (!row.streamed || !row.stream_begun)
    {
        row.exchange->respond(caller_api::result_answer(id, result));
        return;
    }
    row.held += caller_api::outcome_event(id, result);
    row.exchange->write(row.held);
    row.exchange->finish();
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
    const request_id id = fresh_id();
    if (draining_ || exchange->too_large())
    {
        refuse(exchange, id,
               {draining_ ? result_code::leaving : result_code::body_too_large,
                {}});
        return;
    }
    auto parsed = api_.parse(exchange->request(), store_.current(), id, now);
    if (const auto* error = std::get_if<caller_error>(&parsed))
    {
        refuse(exchange, id, *error);
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
                   { accept(exchange, std::move(*run), now); });
}

void entry_server::accept(const std::shared_ptr<http_exchange>& exchange,
                          run_request request, boot_clock::time_point received)
{
    const request_id id = request.id;
    open_request row;
    row.exchange = exchange;
    row.pipeline = request.what->name;
    row.received = received;
    row.streamed = request.streamed;
    open_.emplace(id, std::move(row));
    exchange->when_caller_gone(
        [this, id] {
            commands_.push([this, id]
                           { core_.caller_gone(id, boot_clock::now()); });
        });
    core_.start(std::move(request), boot_clock::now());
}

void entry_server::issue_key(const std::shared_ptr<http_exchange>& exchange,
                             const key_request& wanted)
{
    const auto issued = core_.issue_key(
        *wanted.what, std::chrono::system_clock::now(), boot_clock::now());
    if (issued.code != result_code::complete)
    {
        refuse(exchange, fresh_id(), {issued.code, wanted.what->name});
        return;
    }
    exchange->respond(json_answer({{"idempotency_key", issued.key}}));
}

void entry_server::refuse(const std::shared_ptr<http_exchange>& exchange,
                          const request_id& id, const caller_error& error)
{
    metrics_
        .counter("mangolink_requests_total",
                 "pipeline=\"\",code=\"" +
                     std::string(describe(error.code).name) + "\"")
        .add();
    http_answer answer = caller_api::error_answer(id, error);
    if (error.code == result_code::leaving ||
        error.code == result_code::body_too_large)
    {
        answer.headers.push_back({"Connection", "close"});
    }
    exchange->respond(std::move(answer));
}

void entry_server::count_end(const open_request& row, const run_result& result)
{
    const std::string labels = "pipeline=\"" + row.pipeline + "\",code=\"" +
                               std::string(describe(result.code).name) + "\"";
    metrics_.counter("mangolink_requests_total", labels).add();
    if (result.end == outcome::complete)
    {
        metrics_
            .histogram("mangolink_request_seconds",
                       "pipeline=\"" + row.pipeline + "\"")
            .add(since(row.received));
    }
    else if (result.end == outcome::not_run)
    {
        refusal_time_.add(since(row.received));
    }
}

void entry_server::log_end(const request_id& id, const open_request& row,
                           const run_result& result)
{
    if (!log_enabled(log_level::detail))
    {
        return;
    }
    log_detail("entry", "Request ended.",
               {{"request", id.text()},
                {"pipeline", row.pipeline},
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
        zmq_poll(items, 2, time_to_wait(boot_clock::now()).count());
        if ((items[1].revents & ZMQ_POLLIN) != 0)
        {
            commands_.run_all();
        }
        receive_all();
        const auto now = boot_clock::now();
        core_.on_time(now);
        flush_streams(now);
    }
}

void entry_server::receive_all()
{
    wire::envelope message;
    const auto now = boot_clock::now();
    for (int i = 0; i < messages_per_turn; ++i)
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
    if (held_.empty() || now - last_flush_ < settings_.stream_interval)
    {
        return;
    }
    last_flush_ = now;
    for (const auto& id : held_)
    {
        const auto found = open_.find(id);
        if (found != open_.end())
        {
            write_held(found->second);
        }
    }
    held_.clear();
}

void entry_server::write_held(open_request& row)
{
    row.exchange->write(row.held);
    row.held.clear();
}

milliseconds entry_server::time_to_wait(boot_clock::time_point now) const
{
    auto until = std::min(core_.next_time(), now + longest_wait);
    if (!held_.empty())
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
    platform_reader_events events = document_events(
        commands_, store_, [this] { core_.configuration_changed(); });
    events.instances = [this](const std::vector<instance_entry>& rows)
    {
        std::vector<std::string> leaving;
        for (const auto& row : rows)
        {
            if (row.leaving)
            {
                leaving.push_back(row.name);
            }
        }
        commands_.push([this, leaving = std::move(leaving)]
                       { core_.mark_instances_leaving(leaving); });
    };
    platform_ = std::make_unique<platform_reader>(
        platform_reader_settings::of(settings_.instance), std::move(events));
}

} // namespace mangolink
