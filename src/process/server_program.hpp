#pragma once

#include "process/command_line.hpp"
#include "process/log.hpp"
#include "process/settings_error.hpp"
#include "process/settings_reader.hpp"
#include "process/stop_signal.hpp"

#include <iostream>
#include <string>
#include <thread>

namespace mangolink
{

/// Runs a server from its command line to its graceful stop; returns the exit
/// code of the process.
///
/// Settings is read by Settings::read(settings_reader&) and has a member
/// `instance`; Server is made from it and drains as begin_drain(),
/// draining(), drained() say.
template <class Settings, class Server>
int run_server_program(int argc, char** argv, const program_info& program)
{
    constexpr milliseconds check_interval{50};
    constexpr int start_failed = 1;
    constexpr int settings_wrong = 2;
    constexpr int stopped_early = 3;

    int exit_code = 0;
    const auto line = server_command_line::read(argc, argv, program, exit_code);
    if (!line)
    {
        return exit_code;
    }
    Settings settings;
    try
    {
        settings_reader reader(read_settings_file(line->settings_path),
                               line->settings_path);
        for (const auto& assignment : line->overrides)
        {
            reader.override_with(assignment);
        }
        settings = Settings::read(reader);
        reader.finish();
        if (line->print_only)
        {
            std::cout << reader.effective();
        }
    }
    catch (const settings_error& error)
    {
        std::cerr << error.what() << "\n";
        return settings_wrong;
    }
    if (line->check_only || line->print_only)
    {
        return 0;
    }
    const stop_signal stop;
    configure_log(settings.instance.level, settings.instance.name);
    try
    {
        const milliseconds drain_limit = settings.instance.drain_limit;
        Server server(std::move(settings));
        while (!server.draining() && !stop.wait(check_interval))
        {
        }
        server.begin_drain();
        log_notice("process", "Draining.");
        const auto give_up = boot_clock::now() + drain_limit;
        // Peers and the balancer learn of the drain while late requests are
        // still refused properly.
        std::this_thread::sleep_for(check_interval * 4);
        while (!server.drained())
        {
            if (boot_clock::now() > give_up)
            {
                log_warning("process", "Drain limit passed.");
                return stopped_early;
            }
            std::this_thread::sleep_for(check_interval / 10);
        }
    }
    catch (const std::exception& error)
    {
        std::cerr << program.name << ": " << error.what() << "\n";
        return start_failed;
    }
    return 0;
}

} // namespace mangolink
