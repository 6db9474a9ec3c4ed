#pragma once

#include "request/prompt_work.hpp"

#include <vector>

namespace mangolink
{

namespace wire
{
class gateway_heartbeat;
} // namespace wire

/// Translate the prompts that servers have still to read to and from the
/// messages between gateways. Reading returns an empty list if the message has
/// none or is not valid.
void write_prompt_work(const std::vector<server_prompt_work>& work,
                       wire::gateway_heartbeat& heartbeat);
std::vector<server_prompt_work>
read_prompt_work(const wire::gateway_heartbeat& heartbeat);

} // namespace mangolink
