#pragma once

#include "base/command_line.hpp"
#include "base/log.hpp"
#include "base/settings_error.hpp"
#include "base/settings_reader.hpp"
#include "base/stop_signal.hpp"

#include <iostream>
#include <string>
#include <thread>

namespace mangolink
{

/// Exit codes of a server besides 0.
constexpr int exit_start_failed = 1;
constexpr int exit_invalid_settings = 2;
constexpr int exit_requests_unfinished = 3;

/// Loads and validates the settings that a command line names; throws
/// settings_error. `effective`, if not null, receives all values in force.
template <class Settings>
Settings load_settings(const server_command_line& command_line,
                       std::string* effective)
{
    settings_reader reader(read_settings_file(command_line.settings_path),
                           command_line.settings_path);
    for (const auto& assignment : command_line.overrides)
    {
        reader.apply_override(assignment);
    }
    Settings settings = Settings::read(reader);
    reader.throw_if_invalid();
    if (effective != nullptr)
    {
        *effective = reader.effective();
    }
    return settings;
}

/// Parses the command line, loads the settings and calls serve(command_line,
/// settings), unless only information was requested; returns the exit code of
/// the process.
template <class Settings, class Serve>
int run_program(int argc, char** argv, const program_info& program, Serve serve)
{
    int exit_code = 0;
    const auto command_line =
        server_command_line::read(argc, argv, program, exit_code);
    if (!command_line)
    {
        return exit_code;
    }
    Settings settings;
    std::string effective;
    try
    {
        settings = load_settings<Settings>(*command_line, &effective);
    }
    catch (const settings_error& error)
    {
        std::cerr << error.what() << "\n";
        return exit_invalid_settings;
    }
    if (command_line->print_only)
    {
        std::cout << effective;
    }
    if (command_line->check_only || command_line->print_only)
    {
        return 0;
    }
    try
    {
        return serve(*command_line, std::move(settings));
    }
    catch (const std::exception& error)
    {
        std::cerr << program.name << ": " << error.what() << "\n";
        return exit_start_failed;
    }
}

/// Runs a server until its graceful shutdown; returns the exit code of the
/// process.
///
/// Settings needs Settings::read(settings_reader&) and a member `instance`.
/// Server is constructed from Settings and needs begin_drain(), draining() and
/// drained().
template <class Settings, class Server>
int run_server_program(int argc, char** argv, const program_info& program)
{
    const auto serve = [](const server_command_line&, Settings settings)
    {
        constexpr milliseconds check_interval{50};
        const stop_signal stop;
        configure_log(settings.instance.level, settings.instance.name);
        const milliseconds drain_limit = settings.instance.drain_limit;
        Server server(std::move(settings));
        while (!server.draining() && !stop.wait(check_interval))
        {
        }
        server.begin_drain();
        log_notice("process", "Draining.");
        const auto drain_deadline = boot_clock::now() + drain_limit;
        // Keeps rejecting late requests with an error code until peers and the
        // load balancer have learned of the drain.
        std::this_thread::sleep_for(check_interval * 4);
        while (!server.drained())
        {
            if (boot_clock::now() > drain_deadline)
            {
                log_warning("process",
                            "Drain limit passed; open requests are aborted.");
                return exit_requests_unfinished;
            }
            std::this_thread::sleep_for(check_interval / 10);
        }
        return 0;
    };
    return run_program<Settings>(argc, argv, program, serve);
}

} // namespace mangolink
