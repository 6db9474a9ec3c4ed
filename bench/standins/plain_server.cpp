#include "standins/plain_server.hpp"

#include "connection/http_exchange.hpp"
#include "standins/execution_record.hpp"
#include "standins/timer_queue.hpp"

#include <nlohmann/json.hpp>

#include <random>

namespace mangolink::bench
{
namespace
{

using nlohmann::json;

constexpr int embedding_size = 8;

json embedding_of(const std::string& text)
{
    json values = json::array();
    const std::size_t hash = std::hash<std::string>()(text);
    for (int i = 0; i < embedding_size; ++i)
    {
        values.push_back(static_cast<double>((hash >> i) % 100) / 100.0);
    }
    return values;
}

json documents_for(const json& request)
{
    if (request.contains("documents"))
    {
        return request["documents"];
    }
    json documents = json::array();
    const int count = request.value("top_k", 4);
    for (int i = 0; i < count; ++i)
    {
        documents.push_back("Passage " + std::to_string(i) + " about " +
                            request.value("query", "").substr(0, 40));
    }
    return documents;
}

} // namespace

plain_server::plain_server(plain_server_settings settings,
                           execution_record& record, timer_queue& timer)
    : settings_(std::move(settings)), record_(record), timer_(timer),
      random_(std::seed_seq{settings_.seed}),
      server_({.address = settings_.listen, .max_connections = 2000},
              [this](const std::shared_ptr<http_exchange>& exchange)
              { on_request(exchange); })
{
}

void plain_server::on_request(const std::shared_ptr<http_exchange>& exchange)
{
    const http_request& request = exchange->request();
    if (request.path == "/control/executions")
    {
        exchange->respond({200, {}, record_.text()});
        return;
    }
    if (request.path == "/control/behaviour")
    {
        set_behaviour(request.body);
        exchange->respond({200, {}, "{}"});
        return;
    }
    record_.add({settings_.name,
                 std::string(request.header("Mangolink-Request-Id")),
                 std::string(request.header("Idempotency-Key")), request.path});
    const double factor =
        absl::Uniform(random_, 1 - settings_.spread, 1 + settings_.spread);
    const auto delay = std::chrono::duration_cast<microseconds>(
        settings_.service_time * factor * slowdown_.load());
    http_response answer{status_.load(), {}, answer_to(*exchange)};
    timer_.at(boot_clock::now() + delay, [exchange, answer = std::move(answer)]
              { exchange->respond(answer); });
}

std::string plain_server::answer_to(const http_exchange& exchange) const
{
    const http_request& request = exchange.request();
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
    {
        return "{\"error\":\"not an object\"}";
    }
    if (request.path == "/v1/embeddings")
    {
        const json entry{{"embedding", embedding_of(body.value("input", ""))}};
        return json{{"data", json::array({entry})}}.dump();
    }
    if (request.path == "/v1/retrieve" || request.path == "/v1/rerank")
    {
        return json{{"documents", documents_for(body)}}.dump();
    }
    return json{
        {"server", settings_.name}, {"path", request.path}, {"received", body}}
        .dump();
}

void plain_server::set_behaviour(const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (parsed.is_object())
    {
        slowdown_ = parsed.value("slow", slowdown_.load());
        status_ = parsed.value("status", status_.load());
    }
}

} // namespace mangolink::bench
