#pragma once

#include "base/clock.hpp"
#include "base/log.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mangolink
{

class settings_reader;

/// All settings of mangolink-gateway.
struct gateway_settings final
{
    std::string name;
    std::string zone;
    std::string region;
    log_level level = log_level::notice;
    std::string caller_address;     ///< address for callers
    std::string readiness_address;  ///< address where the balancer asks
    std::string peer_address;       ///< address for other gateways; empty: none
    std::string operator_address;   ///< address of metrics and status
    std::string store_address;      ///< address of the platform's store
    std::vector<std::string> seeds; ///< addresses of some other gateways
    std::map<std::string, std::string> region_of_zone;
    milliseconds stop_limit{8000};       ///< from SIGTERM to the end
    milliseconds revocation_limit{5000}; ///< a key taken away stops working
    double retry_ratio = 0.2;
    milliseconds retry_window{10'000};
    double retry_slack = 0; ///< of all gateways together
    std::uint32_t max_descriptors = 1024;
    std::uint64_t memory_bytes = 256ULL * 1024 * 1024;

    /// Reads every setting; problems are left in the reader.
    static gateway_settings read(settings_reader& reader);

    /// Returns the zones of this gateway's region.
    std::vector<std::string> own_region_zones() const;
};

} // namespace mangolink
