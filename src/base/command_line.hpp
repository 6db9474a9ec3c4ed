#pragma once

#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

/// What a program tells about itself.
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

    /// Reads the flags. Returns nothing when the program has nothing more to
    /// do; exit_code then says how it ends (0: help or version was shown, 2:
    /// the flags are wrong).
    static std::optional<server_command_line>
    read(int argc, char** argv, const program_info& program, int& exit_code);
};

} // namespace mangolink
