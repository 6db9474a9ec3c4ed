#pragma once

#include "base/clock.hpp"
#include "process/published_entries.hpp"
#include "process/zone_evacuations.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

/// Long poll request: the state known to the sender and its longest wait.
struct update_request final
{
    std::uint64_t configuration_version = 0; ///< 0: none
    std::uint64_t entries_digest = 0;
    milliseconds wait{0};
    std::uint64_t evacuations_digest = 0;
};

/// State of a process that reads the platform store. Ages refer to the time at
/// which the response is sent.
struct update_response final
{
    milliseconds held{0}; ///< since the request arrived
    std::uint64_t configuration_version = 0;
    milliseconds configuration_age{0};
    milliseconds entries_age{0};
    std::optional<milliseconds> failure_age; ///< of the last failed read
    bool is_snapshot = false; ///< changes hold every entry and nothing else
    std::vector<entry_change> changes;
    std::vector<zone_evacuation> evacuations; ///< all of them
    store_position evacuations_at;            ///< that they are as new as
};

std::string encode_update_request(const update_request& request);
/// `now`: time of the encoding, as cold periods are sent as remaining times.
std::string encode_update_response(const update_response& response,
                                   boot_clock::time_point now);

/// Return nothing if the bytes cannot be decoded.
std::optional<update_request> decode_update_request(const std::string& bytes);
std::optional<update_response>
decode_update_response(const std::string& bytes, boot_clock::time_point now);

} // namespace mangolink
