#pragma once

#include "base/clock.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// What happens to the bytes of a connection.
struct fault_rule final
{
    std::string route;  ///< name of a route; empty: all
    std::string source; ///< address of the connecting side; empty: all
    milliseconds delay{0};
    milliseconds jitter{0};             ///< added at random, kept in order
    std::uint64_t bytes_per_second = 0; ///< 0: no limit
    bool cut = false;                   ///< close and refuse connections
    bool reset = false; ///< close the open connections once, take new ones
    bool hold_to_server = false; ///< swallow bytes in this direction
    bool hold_to_client = false;
    double drop = 0;                ///< share of connections closed at once
    bool duplicate_connect = false; ///< open a second, silent connection
};

/// Rules in the order they were given; the last that fits applies.
class fault_rules final
{
public:
    /// Replaces all rules; throws std::exception when they are not readable.
    void replace(const nlohmann::json& rules);

    /// Returns the rule for a connection.
    fault_rule rule_for(const std::string& route,
                        const std::string& source) const;

private:
    std::vector<fault_rule> rules_;
};

} // namespace mangolink::bench
