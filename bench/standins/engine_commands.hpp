#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// One order that an engine carried out.
struct engine_command final
{
    std::uint64_t fence = 0;
    std::string action; ///< such as "load_model" or "change_role"
    std::string subject;
};

/// Orders an engine was given. Some engines refuse an order whose fencing
/// number is older than the newest seen; others take any.
class engine_commands final
{
public:
    explicit engine_commands(bool checks_fence) : checks_fence_(checks_fence) {}

    /// Carries out an order; false when it was refused as outdated.
    bool execute(engine_command command);

    /// Returns what was carried out, in order.
    const std::vector<engine_command>& executed() const { return executed_; }

private:
    bool checks_fence_;
    std::uint64_t newest_fence_ = 0;
    std::vector<engine_command> executed_;
};

} // namespace mangolink::bench
