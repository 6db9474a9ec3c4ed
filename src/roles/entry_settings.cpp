#include "roles/entry_settings.hpp"

#include "base/settings_reader.hpp"

namespace mangolink
{
namespace
{

constexpr std::int64_t megabyte = 1024 * 1024;

void read_routing(settings_reader& reader, entry_core_settings& core)
{
    const std::vector<std::string> policies{"expected_wait", "round_robin",
                                            "least_requests"};
    core.selector.policy =
        reader.choice("routing.policy", core.selector.policy, policies);
    core.selector.choices = static_cast<std::uint32_t>(
        reader.integer("routing.choices", core.selector.choices, 1, 64));
    core.selector.zone_price = microseconds(
        reader.integer("routing.zone_price_us",
                       core.selector.zone_price.count(), 0, 10'000'000));
    core.selector.region_price = microseconds(
        reader.integer("routing.region_price_us",
                       core.selector.region_price.count(), 0, 10'000'000));
    core.members.subset_size = static_cast<std::uint32_t>(reader.integer(
        "routing.subset_size", core.members.subset_size, 1, 512));
    core.members.ejection_failures = static_cast<std::uint32_t>(reader.integer(
        "routing.ejection_failures", core.members.ejection_failures, 1, 1000));
    core.members.ejection_time =
        reader.duration("routing.ejection_time", core.members.ejection_time,
                        milliseconds(0), milliseconds(600'000));
    core.members.max_ejected_fraction = reader.number(
        "routing.most_ejected", core.members.max_ejected_fraction, 0, 1);
}

void read_limits(settings_reader& reader, entry_core_settings& core)
{
    core.executor.max_runs = static_cast<std::uint32_t>(reader.integer(
        "limits.max_requests", core.executor.max_runs, 1, 1'000'000));
    core.executor.max_attempts = static_cast<std::uint32_t>(reader.integer(
        "limits.max_attempts", core.executor.max_attempts, 1, 16));
    core.executor.admission =
        reader.boolean("limits.admission", core.executor.admission);
    core.retry_share =
        reader.number("limits.retry_share", core.retry_share, 0, 1);
    core.retry_reserve =
        reader.number("limits.retry_reserve", core.retry_reserve, 0, 10'000);
}

void read_membership(settings_reader& reader, entry_core_settings& core)
{
    core.heartbeat_interval = reader.duration(
        "membership.heartbeat_interval", core.heartbeat_interval,
        milliseconds(50), milliseconds(60'000));
    core.members.heartbeat_timeout = reader.duration(
        "membership.silence_limit", core.members.heartbeat_timeout,
        milliseconds(100), milliseconds(600'000));
}

} // namespace

entry_settings entry_settings::read(settings_reader& reader)
{
    entry_settings result;
    result.instance = instance_settings::read(reader);
    result.listen = reader.required_address("entry.listen");
    result.http_threads = static_cast<std::uint32_t>(
        reader.integer("entry.http_threads", result.http_threads, 1, 64));
    result.max_connections = static_cast<std::uint32_t>(reader.integer(
        "entry.max_connections", result.max_connections, 8, 100'000));
    result.max_body = static_cast<std::size_t>(reader.integer(
        "entry.max_body_bytes", static_cast<std::int64_t>(result.max_body), 1,
        2 * megabyte));
    result.max_deadline =
        reader.duration("entry.max_deadline", result.max_deadline,
                        milliseconds(1), std::chrono::hours(1));
    result.read_limit =
        reader.duration("entry.read_limit", result.read_limit,
                        milliseconds(100), milliseconds(600'000));
    result.stream_interval = microseconds(reader.integer(
        "entry.stream_interval_us", result.stream_interval.count(), 0, 50'000));
    read_routing(reader, result.core);
    read_limits(reader, result.core);
    read_membership(reader, result.core);
    result.core.members.instance = result.instance.name;
    result.core.members.zone = result.instance.zone;
    result.core.members.region = result.instance.region;
    return result;
}

} // namespace mangolink
