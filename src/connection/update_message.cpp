#include "connection/update_message.hpp"

#include "gateway.pb.h"

namespace mangolink
{
namespace
{

std::uint32_t wire_ms(milliseconds value)
{
    return static_cast<std::uint32_t>(value.count());
}

void write_change(const entry_change& change, boot_clock::time_point now,
                  wire::server_entry& entry)
{
    entry.set_id(change.id);
    entry.set_removed(!change.entry);
    if (change.entry)
    {
        entry.set_service(change.entry->service);
        entry.set_address(change.entry->address.text());
        entry.set_zone(change.entry->zone);
        entry.set_slots(change.entry->slots);
        entry.set_started_ms(change.entry->started_ms);
        entry.set_sequence(change.entry->sequence);
        entry.set_leaving(change.entry->leaving);
        entry.set_cold_period(change.entry->cold_period);
        if (change.entry->is_cold(now))
        {
            entry.set_cold_ms(wire_ms(std::chrono::ceil<milliseconds>(
                change.entry->cold_until - now)));
        }
    }
}

/// Returns nothing if the address of the entry is invalid.
std::optional<entry_change> read_change(const wire::server_entry& entry,
                                        boot_clock::time_point now)
{
    if (entry.removed())
    {
        return entry_change{entry.id(), std::nullopt};
    }
    const auto address = socket_address::parse(entry.address());
    if (!address)
    {
        return std::nullopt;
    }
    backend_server server{entry.id(),       entry.service(), *address,
                          entry.zone(),     entry.slots(),   entry.started_ms(),
                          entry.sequence(), entry.leaving()};
    server.cold_period = entry.cold_period();
    if (entry.cold_ms() > 0)
    {
        server.cold_until = now + milliseconds(entry.cold_ms());
    }
    return entry_change{entry.id(), std::move(server)};
}

} // namespace

std::string encode_update_request(const update_request& request)
{
    wire::update_request message;
    message.set_configuration_version(request.configuration_version);
    message.set_entries_digest(request.entries_digest);
    message.set_wait_ms(wire_ms(request.wait));
    message.set_evacuations_digest(request.evacuations_digest);
    return message.SerializeAsString();
}

std::string encode_update_response(const update_response& response,
                                   boot_clock::time_point now)
{
    wire::update_response message;
    message.set_held_ms(wire_ms(response.held));
    message.set_configuration_version(response.configuration_version);
    message.set_configuration_age_ms(wire_ms(response.configuration_age));
    message.set_entries_age_ms(wire_ms(response.entries_age));
    message.set_disturbed(response.failure_age.has_value());
    message.set_failure_age_ms(
        wire_ms(response.failure_age.value_or(milliseconds(0))));
    message.set_whole(response.is_snapshot);
    for (const auto& change : response.changes)
    {
        write_change(change, now, *message.add_entries());
    }
    for (const auto& evacuation : response.evacuations)
    {
        auto& written = *message.add_evacuations();
        written.set_zone(evacuation.zone);
        written.set_revision(evacuation.revision);
    }
    message.set_evacuations_era(response.evacuations_at.era);
    message.set_evacuations_revision(response.evacuations_at.revision);
    return message.SerializeAsString();
}

std::optional<update_request> decode_update_request(const std::string& bytes)
{
    wire::update_request message;
    if (!message.ParseFromString(bytes))
    {
        return std::nullopt;
    }
    return update_request{
        message.configuration_version(), message.entries_digest(),
        milliseconds(message.wait_ms()), message.evacuations_digest()};
}

std::optional<update_response>
decode_update_response(const std::string& bytes, boot_clock::time_point now)
{
    wire::update_response message;
    if (!message.ParseFromString(bytes))
    {
        return std::nullopt;
    }
    update_response response;
    response.held = milliseconds(message.held_ms());
    response.configuration_version = message.configuration_version();
    response.configuration_age = milliseconds(message.configuration_age_ms());
    response.entries_age = milliseconds(message.entries_age_ms());
    if (message.disturbed())
    {
        response.failure_age = milliseconds(message.failure_age_ms());
    }
    response.is_snapshot = message.whole();
    for (const auto& entry : message.entries())
    {
        auto change = read_change(entry, now);
        const bool removal = change && !change->entry;
        if (!change || (removal && response.is_snapshot))
        {
            return std::nullopt;
        }
        response.changes.push_back(std::move(*change));
    }
    for (const auto& evacuation : message.evacuations())
    {
        response.evacuations.push_back(
            {evacuation.zone(), evacuation.revision()});
    }
    response.evacuations_at = {message.evacuations_era(),
                               message.evacuations_revision()};
    return response;
}

} // namespace mangolink
