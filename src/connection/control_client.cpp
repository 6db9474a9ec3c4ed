#include "connection/control_client.hpp"

#include "connection/http_client.hpp"

#include <getopt.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <optional>
#include <sstream>

namespace mangolink
{
namespace
{

using nlohmann::json;

constexpr int exit_failed = 1;
constexpr int usage_error = 2;
constexpr std::uint32_t http_ok = 200;
constexpr const char* key_variable = "MANGOLINK_ADMIN_KEY";

/// One command of the command line.
struct command_entry final
{
    std::string_view name;
    std::string_view argument; ///< shown in the help; empty: takes none
    std::string_view method;
    std::string_view path;
    std::string_view list; ///< member of the answer shown as a table
    std::string_view help;
};

constexpr std::array commands{
    command_entry{"status", "", "GET", "/v1/status", "",
                  "state of the process"},
    command_entry{"members", "", "GET", "/v1/members", "members",
                  "agents as the entry sees them"},
    command_entry{"customers", "", "GET", "/v1/customers", "customers",
                  "customers with shares and limits"},
    command_entry{"configuration", "", "GET", "/v1/configuration", "",
                  "configuration in force"},
    command_entry{"audit", "", "GET", "/v1/audit", "records",
                  "audit trail, oldest first"},
    command_entry{"explain", "PIPELINE", "GET", "/v1/explain?pipeline=",
                  "stages", "where each stage would be sent, and why"},
    command_entry{"check-patch", "FILE", "POST", "/v1/patches/check", "",
                  "check a patch; print the document to publish"},
    command_entry{"drain", "", "POST", "/v1/drain", "",
                  "finish what is in flight, then stop the process"},
    command_entry{"quarantine", "", "GET", "/quarantine", "parts",
                  "parts of prompts that a gateway refuses"},
    command_entry{"limits", "", "GET", "/limits", "servers",
                  "rate limits that servers named to gateways"},
    command_entry{"evacuations", "", "GET", "/placement", "evacuated_zones",
                  "zones whose servers get no new work from a gateway"},
    command_entry{"cold", "", "GET", "/placement", "cold_servers",
                  "cold servers and a gateway's share of their rates"},
    command_entry{"regions", "", "GET", "/placement", "allowed_regions",
                  "regions that bind routes and customers"},
    command_entry{"metrics", "", "GET", "/metrics", "", "text page of metrics"},
};

enum flag : int
{
    flag_address = 'a',
    flag_key = 'k',
    flag_json = 'j',
    flag_help = 'h',
    flag_version = 'V'
};

const option long_options[] = {
    {"address", required_argument, nullptr, flag_address},
    {"key", required_argument, nullptr, flag_key},
    {"json", no_argument, nullptr, flag_json},
    {"help", no_argument, nullptr, flag_help},
    {"version", no_argument, nullptr, flag_version},
    {nullptr, 0, nullptr, 0},
};

struct control_options final
{
    std::string address = "127.0.0.1:7900";
    std::string key;
    bool as_json = false;
    const command_entry* command = nullptr;
    std::string argument;
};

void show_help(const program_info& program)
{
    std::cout << "Usage: " << program.name
              << " [--address HOST:PORT] [--key KEY] [--json] COMMAND\n"
              << program.purpose << "\n\nCommands:\n";
    for (const auto& row : commands)
    {
        std::string name(row.name);
        name += row.argument.empty() ? "" : " " + std::string(row.argument);
        std::cout << "  " << std::left << std::setw(22) << name << row.help
                  << "\n";
    }
    std::cout << "\nThe key can also be given in " << key_variable << ".\n"
              << "Exit codes: 0 done, 1 rejected or not reachable,"
              << " 2 invalid command line.\n";
}

std::string cell_text(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void print_table(const json& rows)
{
    std::vector<std::string> columns;
    for (const auto& row : rows)
    {
        for (const auto& cell : row.items())
        {
            if (std::find(columns.begin(), columns.end(), cell.key()) ==
                columns.end())
            {
                columns.push_back(cell.key());
            }
        }
    }
    for (const auto& column : columns)
    {
        std::size_t width = column.size();
        for (const auto& row : rows)
        {
            width =
                std::max(width, cell_text(row.value(column, json(""))).size());
        }
        std::cout << std::left << std::setw(static_cast<int>(width) + 2)
                  << column;
    }
    std::cout << "\n";
    for (const auto& row : rows)
    {
        for (const auto& column : columns)
        {
            std::size_t width = column.size();
            for (const auto& other : rows)
            {
                width = std::max(
                    width, cell_text(other.value(column, json(""))).size());
            }
            std::cout << std::left << std::setw(static_cast<int>(width) + 2)
                      << cell_text(row.value(column, json("")));
        }
        std::cout << "\n";
    }
}

void print_pairs(const json& body)
{
    for (const auto& row : body.items())
    {
        std::cout << std::left << std::setw(24) << row.key()
                  << cell_text(row.value()) << "\n";
    }
}

std::optional<std::string> file_content(const std::string& path)
{
    std::ifstream input(path);
    if (!input)
    {
        return std::nullopt;
    }
    std::ostringstream content;
    content << input.rdbuf();
    return content.str();
}

std::optional<control_options> parse_command_line(int argc, char** argv,
                                                  const program_info& program,
                                                  int& exit_code)
{
    control_options arguments;
    exit_code = usage_error;
    if (const char* key = std::getenv(key_variable))
    {
        arguments.key = key;
    }
    int found = 0;
    while ((found = getopt_long(argc, argv, "a:k:jhV", long_options,
                                nullptr)) != -1)
    {
        switch (found)
        {
        case flag_address:
            arguments.address = optarg;
            break;
        case flag_key:
            arguments.key = optarg;
            break;
        case flag_json:
            arguments.as_json = true;
            break;
        case flag_help:
            show_help(program);
            exit_code = 0;
            return std::nullopt;
        case flag_version:
            std::cout << program.name << " " << program.version << "\n";
            exit_code = 0;
            return std::nullopt;
        default:
            return std::nullopt;
        }
    }
    for (const auto& row : commands)
    {
        if (optind < argc && row.name == argv[optind])
        {
            arguments.command = &row;
        }
    }
    const int expected_arguments =
        arguments.command != nullptr && !arguments.command->argument.empty()
            ? 2
            : 1;
    if (arguments.command == nullptr || argc - optind != expected_arguments)
    {
        std::cerr
            << program.name
            << ": unknown command or wrong number of arguments (see --help)\n";
        return std::nullopt;
    }
    if (expected_arguments == 2)
    {
        arguments.argument = argv[optind + 1];
    }
    return arguments;
}

} // namespace

int run_control_program(int argc, char** argv, const program_info& program)
{
    int exit_code = 0;
    const auto arguments = parse_command_line(argc, argv, program, exit_code);
    if (!arguments)
    {
        return exit_code;
    }
    http_call call;
    call.method = std::string(arguments->command->method);
    call.url =
        "http://" + arguments->address + std::string(arguments->command->path);
    call.headers = {{"Authorization", "Bearer " + arguments->key}};
    if (arguments->command->path.ends_with("="))
    {
        call.url += arguments->argument;
    }
    else if (!arguments->argument.empty())
    {
        const auto content = file_content(arguments->argument);
        if (!content)
        {
            std::cerr << program.name << ": cannot read " << arguments->argument
                      << "\n";
            return usage_error;
        }
        call.body = *content;
    }
    http_client client;
    const http_result result = client.call(call);
    if (result.status == 0)
    {
        std::cerr << program.name << ": " << arguments->address << ": "
                  << result.error << "\n";
        return exit_failed;
    }
    const json body = json::parse(result.body, nullptr, false);
    if (arguments->as_json || !body.is_object())
    {
        std::cout << result.body << "\n";
    }
    else if (result.status == http_ok && !arguments->command->list.empty())
    {
        print_table(body[std::string(arguments->command->list)]);
    }
    else
    {
        print_pairs(body);
    }
    return result.status == http_ok ? 0 : exit_failed;
}

} // namespace mangolink
