#pragma once

#include "base/clock.hpp"
#include "process/limit_shares.hpp"
#include "process/server_limit_table.hpp"

#include <optional>

namespace mangolink
{

namespace wire
{
class gateway_heartbeat;
class server_limit;
} // namespace wire

/// Translate news of rate limits to and from the messages between gateways,
/// which hold ages instead of times. Reading returns nothing if the limit is
/// not a rate.
void write_limit(const server_limit_news& news, boot_clock::time_point now,
                 wire::server_limit& message);
std::optional<server_limit_news> read_limit(const wire::server_limit& message,
                                            boot_clock::time_point now);

/// The same for the demand of the sender.
void write_demand(const limit_shares::demand_levels& levels,
                  wire::gateway_heartbeat& heartbeat);
limit_shares::demand_levels
read_demand(const wire::gateway_heartbeat& heartbeat);

} // namespace mangolink
