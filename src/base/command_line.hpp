#pragma once

#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

/// Description of a program for its help and version output.
struct program_info final
{
    std::string name;
    std::string purpose; ///< one sentence for --help
    std::string version;
};

/// Flags that mangolink-entry and mangolink-agent share.
struct server_command_line final
{
    std::string settings_path;
    std::vector<std::string> overrides; ///< "key=value", in order
    bool check_only = false;
    bool print_only = false;

    /// Parses the flags. Returns nothing when the program should exit;
    /// exit_code is then set (0: help or version was printed, 2: invalid
    /// flags).
    static std::optional<server_command_line>
    read(int argc, char** argv, const program_info& program, int& exit_code);
};

} // namespace mangolink
