#pragma once

#include "base/clock.hpp"
#include "base/log.hpp"
#include "request/prompt_quarantine.hpp"

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
    std::string caller_address;     ///< listens for callers
    std::string readiness_address;  ///< listens for load balancer probes
    std::string peer_address;       ///< listens for other gateways; empty: none
    std::string operator_address;   ///< listens for metrics and status requests
    std::string store_address;      ///< of the platform's store
    std::vector<std::string> seeds; ///< addresses of some other gateways
    std::map<std::string, std::string> region_of_zone;
    milliseconds stop_limit{8000};       ///< from SIGTERM to process exit
    milliseconds revocation_limit{5000}; ///< until a revoked key stops working
    double retry_ratio = 0.2;
    milliseconds retry_window{10'000};
    double retry_slack = 0; ///< shared by all gateways
    prompt_quarantine_settings quarantine;
    /// The stage servers of a group share their waiting items.
    bool shares_stage_backlogs = false;
    /// Model servers are chosen by the prompts that they have still to read.
    bool weighs_prompts = false;
    std::uint32_t max_descriptors = 1024;
    double processor_share = 1; ///< in cores
    std::uint64_t memory_bytes = 256ULL * 1024 * 1024;

    /// Reads all settings; errors are collected in the reader.
    static gateway_settings read(settings_reader& reader);

    /// Returns the zones of this gateway's region.
    std::vector<std::string> own_region_zones() const;
};

} // namespace mangolink
