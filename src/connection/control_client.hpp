#pragma once

#include "base/command_line.hpp"

namespace mangolink
{

/// Runs mangolink-ctl: reads the command line, calls the administration API
/// and prints a table or JSON. Returns the exit code: 0 done, 1 rejected or not
/// reachable, 2 invalid command line.
int run_control_program(int argc, char** argv, const program_info& program);

} // namespace mangolink
