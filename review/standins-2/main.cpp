#include "cases.hpp"

#include <unistd.h>

#include <iostream>
#include <map>

/// Plays a case: NAME FOLDER RECORD TROUBLE, with TROUBLE 0 or 1. Exits with
/// the verdict.
int main(int argc, char** argv)
{
    using namespace review;
    static const std::map<std::string, verdict (*)(const setting&)> cases{
        {"smuggled_request", &smuggled_request},
        {"last_tenant_removed", &last_tenant_removed},
        {"torn_first_event", &torn_first_event},
        {"reused_handle", &reused_handle},
        {"fractional_bound", &fractional_bound},
        {"crash_after_first_event", &crash_after_first_event},
        {"first_part_refused", &first_part_refused}};
    const auto found = argc == 5 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end())
    {
        std::cerr << "usage: cases NAME FOLDER RECORD TROUBLE\n";
        return static_cast<int>(verdict::not_run);
    }
    verdict result = verdict::not_run;
    record log(argv[3]);
    log.add(std::string("case ") + argv[1] + ", trouble " + argv[4]);
    try
    {
        result = found->second({argv[2], log, std::string(argv[4]) != "0"});
    }
    catch (const std::exception& error)
    {
        log.add(std::string("not run: ") + error.what());
    }
    log.add(result == verdict::broken ? "RULE BROKEN"
            : result == verdict::held ? "rule held"
                                      : "case could not run");
    // The threads of the stand-ins still use them.
    ::_exit(static_cast<int>(result));
}
