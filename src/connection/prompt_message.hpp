#pragma once

#include "base/clock.hpp"
#include "request/prompt_quarantine.hpp"

namespace mangolink
{

namespace wire
{
class gateway_heartbeat;
class prompt_suspicion;
} // namespace wire

/// Translate suspicions to and from the messages between gateways, which hold
/// ages instead of times.
void write_suspicion(const prompt_suspicion& suspicion,
                     boot_clock::time_point now,
                     wire::prompt_suspicion& message);
prompt_suspicion read_suspicion(const wire::prompt_suspicion& message,
                                boot_clock::time_point now);

/// The same for the outcomes in a heartbeat.
void write_outcomes(const prompt_outcomes& outcomes, boot_clock::time_point now,
                    wire::gateway_heartbeat& heartbeat);
prompt_outcomes read_outcomes(const wire::gateway_heartbeat& heartbeat,
                              boot_clock::time_point now);

} // namespace mangolink
