#include "roles/agent_settings.hpp"

#include "base/settings_reader.hpp"

namespace mangolink
{

agent_settings agent_settings::read(settings_reader& reader)
{
    agent_settings result;
    result.instance = instance_settings::read(reader);
    result.listen = reader.required_address("agent.listen");
    result.backend_address = reader.required_address("agent.backend_address");
    result.core.server = reader.required_text("agent.backend_server");
    result.core.limit = static_cast<std::uint32_t>(
        reader.integer("agent.limit", result.core.limit, 1, 10'000));
    result.core.max_queue = static_cast<std::uint32_t>(
        reader.integer("agent.max_queue", result.core.max_queue, 0, 100'000));
    result.core.max_keys = static_cast<std::size_t>(reader.integer(
        "agent.max_keys", static_cast<std::int64_t>(result.core.max_keys), 1,
        1'000'000));
    result.core.attempt_retention = reader.duration(
        "agent.attempt_retention",
        std::chrono::duration_cast<milliseconds>(result.core.attempt_retention),
        milliseconds(1000), std::chrono::hours(2), duration_rounding::up);
    return result;
}

} // namespace mangolink
