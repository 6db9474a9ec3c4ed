#pragma once

#include "stand_ins.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace review
{

/// Result of a case; the values are exit codes.
enum class verdict : std::uint8_t
{
    held = 0,
    broken = 1,
    not_run = 2
};

/// What a case gets: a folder for its temporary files, its record, and whether
/// the disruption takes place.
struct setting final
{
    std::string folder;
    record& log;
    bool trouble = true;
};

/// A key of the only tenant, and one that no configuration ever held.
constexpr const char* tenant_key = "9dnn2ctnfzs989anu6ws";
constexpr const char* unknown_key = "k0000000000000000000";

/// Returns a configuration with one route that may not be repeated, to the
/// service "desk", and one tenant.
nlohmann::json desk_configuration(unsigned version);

/// Returns a configuration with one route of streams that may be resumed, to
/// the service "model", with two stages, and one tenant. `second_call`: time of
/// a call of the second stage.
nlohmann::json model_configuration(unsigned version, milliseconds second_call);

/// Returns a configuration with one route of streams, to the service "model",
/// that are sent once at most, and one tenant.
nlohmann::json query_configuration(unsigned version);

/// Returns the head of a request up to its framing, which the caller adds.
std::string request_head(const std::string& path, const std::string& id,
                         const std::string& key = tenant_key);

/// Reads an answer and records it.
std::optional<message> read_answer(connection& from, const std::string& id,
                                   record& log,
                                   milliseconds limit = milliseconds(6000));

verdict smuggled_request(const setting& given);
verdict last_tenant_removed(const setting& given);
verdict torn_first_event(const setting& given);
verdict reused_handle(const setting& given);
verdict fractional_bound(const setting& given);
verdict crash_after_first_event(const setting& given);
verdict first_part_refused(const setting& given);

} // namespace review
