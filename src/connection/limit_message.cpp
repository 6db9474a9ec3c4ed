#include "connection/limit_message.hpp"

#include "gateway.pb.h"

#include <algorithm>
#include <cmath>

namespace mangolink
{
namespace
{

/// More services or a higher rate are no valid demand.
constexpr int max_services = 64;
constexpr int max_level = 30;

} // namespace

void write_limit(const server_limit_news& news, boot_clock::time_point now,
                 wire::server_limit& message)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - news.at);
    message.set_server_start(news.server_start);
    if (news.per_second < no_rate_limit)
    {
        message.set_per_second(news.per_second);
    }
    message.set_age_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count())));
}

std::optional<server_limit_news> read_limit(const wire::server_limit& message,
                                            boot_clock::time_point now)
{
    const double per_second =
        message.has_per_second() ? message.per_second() : no_rate_limit;
    if (std::isnan(per_second) || per_second < 0)
    {
        return std::nullopt;
    }
    return server_limit_news{message.server_start(), per_second,
                             now - milliseconds(message.age_ms())};
}

void write_demand(const limit_shares::demand_levels& levels,
                  wire::gateway_heartbeat& heartbeat)
{
    for (const auto& [service, level] : levels)
    {
        auto& written = *heartbeat.add_demands();
        written.set_service(service);
        written.set_level(level);
    }
}

limit_shares::demand_levels
read_demand(const wire::gateway_heartbeat& heartbeat)
{
    limit_shares::demand_levels levels;
    for (const auto& demand : heartbeat.demands())
    {
        if (levels.size() < max_services)
        {
            levels[demand.service()] =
                std::clamp(demand.level(), -max_level, max_level);
        }
    }
    return levels;
}

} // namespace mangolink
