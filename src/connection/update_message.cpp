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

void write_change(const entry_change& change, wire::server_entry& row)
{
    row.set_id(change.id);
    row.set_removed(!change.entry);
    if (change.entry)
    {
        row.set_service(change.entry->service);
        row.set_address(change.entry->address.text());
        row.set_zone(change.entry->zone);
        row.set_slots(change.entry->slots);
        row.set_started_ms(change.entry->started_ms);
        row.set_sequence(change.entry->sequence);
        row.set_leaving(change.entry->leaving);
    }
}

/// Returns nothing for an entry without a usable address.
std::optional<entry_change> read_change(const wire::server_entry& row)
{
    if (row.removed())
    {
        return entry_change{row.id(), std::nullopt};
    }
    const auto address = socket_address::parse(row.address());
    if (!address)
    {
        return std::nullopt;
    }
    return entry_change{
        row.id(), backend_server{row.id(), row.service(), *address, row.zone(),
                                 row.slots(), row.started_ms(), row.sequence(),
                                 row.leaving()}};
}

} // namespace

std::string encode_update_request(const update_request& question)
{
    wire::update_request message;
    message.set_configuration_version(question.configuration_version);
    message.set_entries_digest(question.entries_digest);
    message.set_wait_ms(wire_ms(question.wait));
    return message.SerializeAsString();
}

std::string encode_update_response(const update_response& answer)
{
    wire::update_response message;
    message.set_held_ms(wire_ms(answer.held));
    message.set_configuration_version(answer.configuration_version);
    message.set_configuration_age_ms(wire_ms(answer.configuration_age));
    message.set_entries_age_ms(wire_ms(answer.entries_age));
    message.set_disturbed(answer.failure_age.has_value());
    message.set_failure_age_ms(
        wire_ms(answer.failure_age.value_or(milliseconds(0))));
    message.set_whole(answer.whole);
    for (const auto& change : answer.changes)
    {
        write_change(change, *message.add_entries());
    }
    return message.SerializeAsString();
}

std::optional<update_request> decode_update_request(const std::string& bytes)
{
    wire::update_request message;
    if (!message.ParseFromString(bytes))
    {
        return std::nullopt;
    }
    return update_request{message.configuration_version(),
                          message.entries_digest(),
                          milliseconds(message.wait_ms())};
}

std::optional<update_response> decode_update_response(const std::string& bytes)
{
    wire::update_response message;
    if (!message.ParseFromString(bytes))
    {
        return std::nullopt;
    }
    update_response answer;
    answer.held = milliseconds(message.held_ms());
    answer.configuration_version = message.configuration_version();
    answer.configuration_age = milliseconds(message.configuration_age_ms());
    answer.entries_age = milliseconds(message.entries_age_ms());
    if (message.disturbed())
    {
        answer.failure_age = milliseconds(message.failure_age_ms());
    }
    answer.whole = message.whole();
    for (const auto& row : message.entries())
    {
        auto change = read_change(row);
        if (!change)
        {
            return std::nullopt;
        }
        answer.changes.push_back(std::move(*change));
    }
    return answer;
}

} // namespace mangolink
