#include "standins/platform_server.hpp"

#include "connection/http_exchange.hpp"
#include "standins/timer_queue.hpp"

namespace mangolink::bench
{
namespace
{

using nlohmann::json;

constexpr milliseconds max_watch{30'000};

std::uint64_t number_argument(const http_request& request,
                              std::string_view name)
{
    const std::string text(request.argument(name));
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

platform_server::platform_server(platform_server_settings settings,
                                 timer_queue& timer)
    : settings_(std::move(settings)), timer_(timer),
      value_(settings_.first_value),
      server_({.address = settings_.listen, .max_connections = 4000},
              [this](const exchange_pointer& exchange)
              { on_request(exchange); })
{
}

platform_server::~platform_server()
{
    const std::lock_guard lock(mutex_);
    number_ = 0;
    answer_watchers();
}

void platform_server::on_request(const exchange_pointer& exchange)
{
    const std::string& path = exchange->request().path;
    const std::lock_guard lock(mutex_);
    if (path.starts_with("/control/"))
    {
        on_control(exchange);
        return;
    }
    if (down_)
    {
        exchange->respond({503, {}, "{}"});
        return;
    }
    if (path == "/v1/configuration/changes")
    {
        ++reads_;
        on_changes(exchange);
    }
    else if (path == "/v1/instances")
    {
        exchange->respond(
            {200, {}, json{{"instances", settings_.instances}}.dump()});
    }
    else
    {
        exchange->respond({404, {}, "{}"});
    }
}

void platform_server::on_changes(const exchange_pointer& exchange)
{
    const http_request& request = exchange->request();
    const std::uint64_t after = number_argument(request, "after");
    const milliseconds wait(number_argument(request, "wait_ms"));
    if (stale_ || after < number_ || wait == milliseconds(0))
    {
        exchange->respond({200, {}, changes_after(after)});
        return;
    }
    const std::uint64_t id = next_watcher_++;
    watchers_[id] = {exchange, after};
    timer_.at(boot_clock::now() + std::min(wait, max_watch),
              [this, id]
              {
                  const std::lock_guard lock(mutex_);
                  const auto found = watchers_.find(id);
                  if (found != watchers_.end())
                  {
                      found->second.exchange->respond(
                          {200, {}, changes_after(found->second.after)});
                      watchers_.erase(found);
                  }
              });
}

void platform_server::on_control(const exchange_pointer& exchange)
{
    const http_request& request = exchange->request();
    const json body = json::parse(request.body, nullptr, false);
    if (request.path == "/control/reads")
    {
        exchange->respond({200, {}, json{{"reads", reads_}}.dump()});
        return;
    }
    if (request.path == "/control/publish" && body.is_object())
    {
        publish(body);
    }
    else if (request.path == "/control/mode" && body.is_object())
    {
        down_ = body.value("down", down_);
        stale_ = body.value("stale", stale_);
    }
    else if (request.path == "/control/instances" && body.is_array())
    {
        settings_.instances = body;
    }
    else
    {
        exchange->respond({400, {}, "{}"});
        return;
    }
    exchange->respond({200, {}, json{{"number", number_}}.dump()});
}

void platform_server::publish(const json& document)
{
    number_ = document.value("number", number_);
    documents_[number_] = document;
    if (document.value("base", std::uint64_t(0)) + 1 == number_)
    {
        try
        {
            value_ = value_.patch(document.value("changes", json::array()));
        }
        catch (const json::exception&)
        {
            // An invalid patch is published unchanged: readers must reject it.
        }
    }
    answer_watchers();
}

std::string platform_server::changes_after(std::uint64_t number) const
{
    if (stale_)
    {
        return json{
            {"whole", {{"number", 1}, {"value", settings_.first_value}}}}
            .dump();
    }
    if (number == 0)
    {
        return json{{"whole", {{"number", number_}, {"value", value_}}}}.dump();
    }
    json documents = json::array();
    for (auto it = documents_.upper_bound(number); it != documents_.end(); ++it)
    {
        documents.push_back(it->second);
    }
    return json{{"documents", documents}}.dump();
}

void platform_server::answer_watchers()
{
    for (const auto& [id, entry] : watchers_)
    {
        entry.exchange->respond({200, {}, changes_after(entry.after)});
    }
    watchers_.clear();
}

} // namespace mangolink::bench
