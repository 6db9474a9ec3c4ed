#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// Administrative command to an engine.
struct engine_command final
{
    std::uint64_t fence = 0;
    std::string action; ///< such as "load_model" or "change_role"
    std::string subject;
};

/// Executes administrative commands of an engine. Engines that check fencing
/// numbers reject a command whose number is lower than the highest seen; others
/// accept any command.
class engine_commands final
{
public:
    explicit engine_commands(bool checks_fence) : checks_fence_(checks_fence) {}

    /// Executes a command; false when it was rejected as outdated.
    bool execute(engine_command command);

    /// Returns the executed commands in order of execution.
    const std::vector<engine_command>& executed() const { return executed_; }

private:
    bool checks_fence_;
    std::uint64_t newest_fence_ = 0;
    std::vector<engine_command> executed_;
};

} // namespace mangolink::bench
