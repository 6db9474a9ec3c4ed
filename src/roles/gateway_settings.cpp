#include "roles/gateway_settings.hpp"

#include "base/instance_settings.hpp"
#include "base/settings_reader.hpp"

namespace mangolink
{
namespace
{

constexpr double megabyte = 1024 * 1024;

} // namespace

gateway_settings gateway_settings::read(settings_reader& reader)
{
    using std::chrono::hours;
    gateway_settings result;
    result.name = reader.required_text("instance.name");
    result.zone = reader.required_text("instance.zone");
    result.region = reader.required_text("instance.region");
    result.level = read_log_level(reader, "instance.log_level");
    result.max_descriptors = static_cast<std::uint32_t>(reader.integer(
        "instance.max_descriptors", result.max_descriptors, 64, 1'000'000));
    result.processor_share = reader.number(
        "instance.processor_share", result.processor_share, 0.001, 10'000);
    result.memory_bytes = static_cast<std::uint64_t>(
        reader.number("instance.memory_mb", 256, 32, 1'000'000) * megabyte);
    result.caller_address = reader.required_address("gateway.callers");
    result.readiness_address = reader.required_address("gateway.readiness");
    result.peer_address = reader.optional_address("gateway.peers");
    result.operator_address = reader.optional_address("gateway.operators");
    result.stop_limit = reader.duration("gateway.stop_limit", result.stop_limit,
                                        milliseconds(100), hours(1));
    result.seeds = reader.text_list("gateway.seeds");
    result.store_address = reader.required_address("platform.store");
    for (const auto& pair : reader.text_list("platform.zones"))
    {
        const auto equals = pair.find('=');
        result.region_of_zone[pair.substr(0, equals)] =
            equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
    result.revocation_limit =
        reader.duration("keys.revocation_limit", result.revocation_limit,
                        milliseconds(100), hours(24));
    result.retry_ratio =
        reader.number("retries.ratio", result.retry_ratio, 0, 10);
    result.retry_window =
        reader.duration("retries.window", result.retry_window,
                        milliseconds(100), hours(1), duration_rounding::up);
    result.retry_slack =
        reader.number("retries.slack", result.retry_slack, 0, 1e9);
    result.shares_stage_backlogs = reader.boolean(
        "balancing.shares_stage_backlogs", result.shares_stage_backlogs);
    result.weighs_prompts =
        reader.boolean("balancing.weighs_prompts", result.weighs_prompts);
    result.quarantine.enabled =
        reader.boolean("quarantine.enabled", result.quarantine.enabled);
    result.quarantine.quiet_time = reader.duration(
        "quarantine.quiet_time", result.quarantine.quiet_time,
        std::chrono::seconds(10), hours(24), duration_rounding::up);
    return result;
}

std::vector<std::string> gateway_settings::own_region_zones() const
{
    std::vector<std::string> result;
    for (const auto& [own_zone, in_region] : region_of_zone)
    {
        if (in_region == region)
        {
            result.push_back(own_zone);
        }
    }
    return result;
}

} // namespace mangolink
