#pragma once

#include "base/clock.hpp"
#include "base/log.hpp"

#include <string>
#include <string_view>

namespace mangolink
{

class settings_reader;

/// Reads a log level by its name.
log_level read_log_level(settings_reader& reader, std::string_view key);

/// Settings that all processes of the system have in common.
struct instance_settings final
{
    std::string name; ///< unique in the instance list
    std::string zone;
    std::string region;
    log_level level = log_level::notice;
    std::string admin_address;
    std::string admin_key;
    std::string configuration_service; ///< host:port; empty: peers only
    std::string instance_list;         ///< host:port; empty: none
    milliseconds drain_limit{30'000};

    /// Reads the tables [instance] and [platform].
    static instance_settings read(settings_reader& reader);
};

} // namespace mangolink
