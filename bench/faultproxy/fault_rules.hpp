#pragma once

#include "base/clock.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mangolink::bench
{

/// Faults injected into the connections that match a route and a source.
struct fault_rule final
{
    std::string route;  ///< name of the route; empty: all
    std::string source; ///< client IP address; empty: all
    milliseconds delay{0};
    milliseconds jitter{0}; ///< maximum random extra delay; order is kept
    std::uint64_t bytes_per_second = 0; ///< 0: no limit
    bool cut = false;   ///< close connections and reject new ones
    bool reset = false; ///< close open connections once, accept new ones
    bool hold_to_server = false; ///< discard bytes in this direction
    bool hold_to_client = false;
    double drop = 0; ///< fraction of connections closed on accept
    bool duplicate_connect = false; ///< open a second, unused connection
};

/// Ordered list of rules; the last one that matches applies.
class fault_rules final
{
public:
    /// Replaces all rules; throws std::exception if they are invalid.
    void replace(const nlohmann::json& rules);

    /// Returns the matching rule, or one without faults.
    fault_rule rule_for(const std::string& route,
                        const std::string& source) const;

private:
    std::vector<fault_rule> rules_;
};

} // namespace mangolink::bench
