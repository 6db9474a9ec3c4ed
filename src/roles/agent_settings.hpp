#pragma once

#include "base/instance_settings.hpp"
#include "roles/agent_core.hpp"

#include <string>

namespace mangolink
{

/// All settings of mangolink-agent.
struct agent_settings final
{
    instance_settings instance;
    std::string listen;          ///< for entries
    std::string backend_address; ///< host:port of the backend server
    agent_core_settings core;

    /// Reads all settings; errors are collected in the reader.
    static agent_settings read(settings_reader& reader);
};

} // namespace mangolink
