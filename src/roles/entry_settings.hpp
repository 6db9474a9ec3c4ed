#pragma once

#include "base/instance_settings.hpp"
#include "roles/entry_core.hpp"

#include <string>

namespace mangolink
{

/// All settings of mangolink-entry.
struct entry_settings final
{
    instance_settings instance;
    std::string listen;
    std::uint32_t http_threads = 2;
    std::uint32_t max_connections = 4000;
    std::size_t max_body = 1024 * 1024;
    milliseconds max_deadline{60'000};
    milliseconds read_limit{10'000}; ///< for receiving a complete request
    microseconds stream_interval{0}; ///< minimum time between stream writes
    entry_core_settings core;

    /// Reads all settings; errors are collected in the reader.
    static entry_settings read(settings_reader& reader);
};

} // namespace mangolink
