#include "standins/engine_server.hpp"

#include "connection/http_exchange.hpp"
#include "standins/execution_record.hpp"

#include <nlohmann/json.hpp>

namespace mangolink::bench
{
namespace
{

using nlohmann::json;

std::string token_line(const engine_token& token)
{
    std::string line = "data: {\"choices\":[{\"index\":0,\"text\":\"w" +
                       std::to_string(token.index) + " \"}]";
    if (token.last)
    {
        line += ",\"usage\":{\"prompt_tokens\":" +
                std::to_string(token.prompt_tokens) +
                ",\"cached_tokens\":" + std::to_string(token.cached_tokens) +
                ",\"completion_tokens\":" + std::to_string(token.index + 1) +
                "}";
    }
    line += "}\n\n";
    return token.last ? line + "data: [DONE]\n\n" : line;
}

} // namespace

engine_server::engine_server(engine_server_settings settings,
                             execution_record& record)
    : settings_(std::move(settings)), record_(record), model_(settings_.model),
      commands_(settings_.checks_fence),
      reports_(settings_.report_lag, settings_.event_gaps, settings_.seed),
      thread_([this] { run(); }),
      server_({.address = settings_.listen, .max_connections = 4000},
              [this](const std::shared_ptr<http_exchange>& exchange)
              { on_request(exchange); })
{
}

engine_server::~engine_server()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void engine_server::on_request(const std::shared_ptr<http_exchange>& exchange)
{
    const http_request& request = exchange->request();
    if (request.path == "/control/executions")
    {
        exchange->respond({200, {}, record_.text()});
    }
    else if (request.path == "/control/behaviour")
    {
        const json parsed = json::parse(request.body, nullptr, false);
        slowdown_ = parsed.is_object() ? parsed.value("slow", 1.0) : 1.0;
        exchange->respond({200, {}, "{}"});
    }
    else if (request.path == "/v1/completions")
    {
        start(exchange);
    }
    else
    {
        const std::lock_guard lock(mutex_);
        exchange->respond(control_answer(request));
    }
}

http_response engine_server::control_answer(const http_request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    const auto now = boot_clock::now();
    if (request.path == "/v1/load")
    {
        const engine_load load = reports_.load(now);
        return {
            200,
            {},
            json{{"running", load.running}, {"waiting", load.waiting}}.dump()};
    }
    if (request.path == "/v1/cache/events")
    {
        const std::string after(request.argument("after"));
        json events = json::array();
        for (const auto& event :
             reports_.events_after(after.empty() ? 0 : std::stoull(after), now))
        {
            events.push_back({{"sequence", event.sequence},
                              {"block", event.block},
                              {"stored", event.stored}});
        }
        return {200, {}, json{{"events", events}}.dump()};
    }
    if (!body.is_object())
    {
        return {400, {}, "{}"};
    }
    if (request.path == "/v1/kv/export")
    {
        auto ids = json::array();
        for (const auto& block :
             model_.export_prefix(text_blocks(body.value("prompt", ""))))
        {
            ids.push_back(block.id);
        }
        return {200, {}, json{{"blocks", ids}}.dump()};
    }
    if (request.path == "/v1/kv/import")
    {
        std::vector<prompt_block> blocks;
        for (const std::uint64_t id : body.value("blocks", json::array()))
        {
            blocks.push_back({id, text_block_tokens});
        }
        model_.import_blocks(blocks);
        return {200, {}, "{}"};
    }
    if (request.path == "/v1/cancel")
    {
        on_cancel(body);
        return {200, {}, "{}"};
    }
    if (request.path == "/v1/orders")
    {
        const bool accepted = commands_.execute(
            {body.value("fence", std::uint64_t(0)), body.value("action", ""),
             body.value("subject", "")});
        return {accepted ? 200U : 409U, {}, "{}"};
    }
    return {404, {}, "{}"};
}

void engine_server::on_cancel(const json& body)
{
    const std::string wanted = body.value("request_id", "");
    for (auto it = streams_.begin(); it != streams_.end();)
    {
        const auto current = it++;
        if (current->second.request_id == wanted)
        {
            model_.cancel(current->first);
            current->second.exchange->finish();
            streams_.erase(current);
        }
    }
}

void engine_server::start(const std::shared_ptr<http_exchange>& exchange)
{
    const http_request& request = exchange->request();
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("prompt"))
    {
        exchange->respond({400, {}, "{}"});
        return;
    }
    record_.add({settings_.name,
                 std::string(request.header("Mangolink-Request-Id")),
                 std::string(request.header("Idempotency-Key")), request.path});
    const std::lock_guard lock(mutex_);
    const std::uint64_t id = next_id_++;
    streams_[id] = {exchange, false,
                    std::string(request.header("Mangolink-Request-Id"))};
    const std::string prompt = body.value("prompt", "");
    model_.add({id, text_blocks(prompt), text_tokens(prompt),
                body.value("max_tokens", 16U), body.value("priority", 5U),
                body.value("resume_from", 0U)});
    exchange->set_disconnect_handler(
        [this, id]
        {
            const std::lock_guard inner(mutex_);
            model_.cancel(id);
            streams_.erase(id);
        });
    changed_.notify_all();
}

void engine_server::run()
{
    auto due = boot_clock::now();
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        if (model_.idle())
        {
            changed_.wait(lock);
            due = boot_clock::now();
            continue;
        }
        const engine_step step = model_.step();
        const auto now = boot_clock::now();
        reports_.add_load({model_.running(), model_.waiting()}, now);
        for (const auto& change : model_.take_cache_changes())
        {
            reports_.add_event(change.block, change.stored, now);
        }
        due += std::chrono::duration_cast<boot_clock::duration>(
            step.length * slowdown_.load());
        const auto left = due - boot_clock::now();
        lock.unlock();
        if (left > boot_clock::duration(0))
        {
            std::this_thread::sleep_for(left);
        }
        else
        {
            due = boot_clock::now();
        }
        lock.lock();
        for (const auto& token : step.tokens)
        {
            emit(token);
        }
    }
}

void engine_server::emit(const engine_token& token)
{
    const auto found = streams_.find(token.id);
    if (found == streams_.end())
    {
        return;
    }
    stream& current = found->second;
    const std::string line = token_line(token);
    if (current.begun)
    {
        current.exchange->write(line);
    }
    else
    {
        current.begun = true;
        current.exchange->begin_stream(
            {200, {{"Content-Type", "text/event-stream"}}, line});
    }
    if (token.last)
    {
        current.exchange->finish();
        streams_.erase(found);
    }
}

} // namespace mangolink::bench
