#include "connection/server_limit_guard.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "connection/backend_exchange.hpp"
#include "connection/limit_message.hpp"
#include "gateway.pb.h"
#include "process/backend_directory.hpp"
#include "process/peer_directory.hpp"
#include "request/server_rate_limiter.hpp"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace mangolink
{
namespace
{

constexpr const char* changes_metric = "mangolink_server_limits_total";

/// One in this many unreadable limits is logged.
constexpr std::uint64_t unreadable_per_line = 100;

std::string rate_text(double per_second)
{
    return per_second < no_rate_limit ? absl::StrFormat("%g", per_second)
                                      : "none";
}

} // namespace

server_limit_guard::server_limit_guard(server_rate_limiter& limiter,
                                       const backend_directory& directory,
                                       metrics_registry& metrics,
                                       std::function<void()> on_named)
    : limiter_(limiter), directory_(directory), on_named_(std::move(on_named)),
      named_(metrics.counter(changes_metric, "how=\"named\"")),
      ended_(metrics.counter(changes_metric, "how=\"ended\"")),
      unreadable_(metrics.counter(changes_metric, "how=\"unreadable\"")),
      refusals_(metrics.counter("mangolink_server_limit_refusals_total"))
{
    metrics.gauge("mangolink_limited_servers",
                  [this] { return static_cast<double>(size()); });
}

void server_limit_guard::record_answer(const received_head& head)
{
    if (!head.expected)
    {
        return; // it may be old
    }
    const auto& limit = head.metadata.rate_limit;
    if (head.metadata.rate_limit_invalid)
    {
        unreadable_.add();
        if (unreadable_.value() % unreadable_per_line == 1)
        {
            log_notice("limits", "Answer tells no valid rate limit.",
                       {{"server", head.server.id},
                        {"count", std::to_string(unreadable_.value())}});
        }
    }
    if (!limit)
    {
        return;
    }
    const auto now = boot_clock::now();
    const auto change =
        limiter_.record_answer(head.server, *limit, head.request_sent, now);
    report(change, {head.server.start_hash(), *limit, now}, "answer");
    if (change != server_limit_change::none)
    {
        on_named_();
    }
}

void server_limit_guard::merge(const wire::gateway_heartbeat& heartbeat,
                               bool delayed)
{
    limiter_.shares().set_demand(heartbeat.name(), read_demand(heartbeat));
    if (delayed)
    {
        return;
    }
    const auto now = boot_clock::now();
    for (const auto& message : heartbeat.limits())
    {
        if (const auto news = read_limit(message, now))
        {
            report(limiter_.merge(*news), *news, heartbeat.name().c_str());
        }
    }
}

void server_limit_guard::write(wire::gateway_heartbeat& heartbeat, bool all)
{
    const auto now = boot_clock::now();
    for (const auto& news : limiter_.limits().report(all, now))
    {
        write_limit(news, now, *heartbeat.add_limits());
    }
    if (limiter_.limits().limited() > 0)
    {
        write_demand(limiter_.demand().current(), heartbeat);
    }
}

void server_limit_guard::update(const peer_directory& peers)
{
    std::vector<limit_process> alive{
        {peers.self().name, peers.self().stopping}};
    for (const auto* other : peers.all())
    {
        alive.push_back({other->name, other->stopping});
    }
    limiter_.update(alive, boot_clock::now());
}

refusal server_limit_guard::refuse(milliseconds retry_delay)
{
    refusals_.add();
    return {http::status::service_unavailable, "servers limited", retry_delay};
}

std::string server_limit_guard::status_text() const
{
    const auto now = boot_clock::now();
    absl::flat_hash_map<std::uint64_t, std::string> names;
    for (const auto& server : directory_.all())
    {
        names[server->start_hash()] = server->id;
    }
    auto servers = nlohmann::json::array();
    for (const auto& news : limiter_.limits().limits())
    {
        const auto name = names.find(news.server_start);
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - news.at);
        servers.push_back(
            {{"server", name == names.end() ? "gone" : name->second},
             {"per_second", news.per_second},
             {"told_ms_ago", age.count()}});
    }
    const nlohmann::json status{
        {"processes", limiter_.shares().processes()},
        {"usable_fraction", limiter_.shares().fraction()},
        {"refused", refusals_.value()},
        {"servers", servers}};
    return status.dump(2) + "\n";
}

std::size_t server_limit_guard::size() const
{
    return limiter_.limits().limited();
}

void server_limit_guard::report(server_limit_change change,
                                const server_limit_news& news,
                                const char* source)
{
    if (change == server_limit_change::none)
    {
        return;
    }
    const bool ended = change == server_limit_change::ended;
    (ended ? ended_ : named_).add();
    const auto* server = find_server(news.server_start);
    log_notice("limits",
               ended ? "Server names no rate limit any more."
                     : "Server names a rate limit.",
               {{"server", server == nullptr ? "unknown" : server->id},
                {"service", server == nullptr ? "" : server->service},
                {"per_second", rate_text(news.per_second)},
                {"source", source}});
}

const backend_server*
server_limit_guard::find_server(std::uint64_t server_start) const
{
    for (const auto& server : directory_.all())
    {
        if (server->start_hash() == server_start)
        {
            return server.get();
        }
    }
    return nullptr;
}

} // namespace mangolink
