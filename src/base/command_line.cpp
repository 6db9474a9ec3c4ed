#include "base/command_line.hpp"

#include <getopt.h>

#include <iostream>

namespace mangolink
{
namespace
{

constexpr int usage_error = 2;

enum flag : int
{
    flag_settings = 's',
    flag_help = 'h',
    flag_version = 'V',
    flag_set = 1000,
    flag_check,
    flag_print
};

const option options[] = {
    {"settings", required_argument, nullptr, flag_settings},
    {"set", required_argument, nullptr, flag_set},
    {"check-settings", no_argument, nullptr, flag_check},
    {"print-settings", no_argument, nullptr, flag_print},
    {"help", no_argument, nullptr, flag_help},
    {"version", no_argument, nullptr, flag_version},
    {nullptr, 0, nullptr, 0},
};

void show_help(const program_info& program)
{
    std::cout
        << "Usage: " << program.name
        << " --settings FILE [--set KEY=VALUE]...\n"
        << program.purpose << "\n\n"
        << "  -s, --settings FILE  TOML settings file (required)\n"
        << "      --set KEY=VALUE  replace one setting; may be repeated\n"
        << "      --check-settings check the settings and exit\n"
        << "      --print-settings print every setting in force and exit\n"
        << "  -h, --help           show this text\n"
        << "  -V, --version        show the version\n\n"
        << "Precedence: --set, then the file, then the defaults.\n"
        << "Exit codes: 0 stopped gracefully, 1 failed while starting,\n"
        << "2 invalid flags or settings, 3 stopped before all requests "
           "ended.\n";
}

} // namespace

std::optional<server_command_line>
server_command_line::read(int argc, char** argv, const program_info& program,
                          int& exit_code)
{
    server_command_line result;
    exit_code = 0;
    int found = 0;
    while ((found = getopt_long(argc, argv, "s:hV", options, nullptr)) != -1)
    {
        switch (found)
        {
        case flag_settings:
            result.settings_path = optarg;
            break;
        case flag_set:
            result.overrides.emplace_back(optarg);
            break;
        case flag_check:
            result.check_only = true;
            break;
        case flag_print:
            result.print_only = true;
            break;
        case flag_help:
            show_help(program);
            return std::nullopt;
        case flag_version:
            std::cout << program.name << " " << program.version << "\n";
            return std::nullopt;
        default:
            exit_code = usage_error;
            return std::nullopt;
        }
    }
    if (result.settings_path.empty() || optind < argc)
    {
        std::cerr << program.name << ": --settings FILE is required"
                  << " (see --help)\n";
        exit_code = usage_error;
        return std::nullopt;
    }
    return result;
}

} // namespace mangolink
