#pragma once

#include "base/clock.hpp"
#include "process/backend_server.hpp"
#include "process/placement.hpp"
#include "process/region_set.hpp"
#include "request/stage_queue.hpp"
#include "version/gateway_service.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

/// Work that a task would cause at a stage server.
struct stage_demand final
{
    std::size_t item_count = 0;     ///< number of items
    std::uint64_t result_bytes = 0; ///< size of one result
    /// Total bytes of inputs that the items read, by the zone of the inputs.
    absl::flat_hash_map<std::string, std::uint64_t> inputs_in_zone;
    std::string preferred_zone;             ///< empty when there is none
    milliseconds preference{0};             ///< cost of choosing another zone
    region_set regions = region_set::all(); ///< that the items may run in
};

/// Chooses the stage server for a task, using the load reports that the owners
/// of the stage servers publish.
///
/// All items of a task go to one server, so that their results are stored
/// together and the next stage and the model engine can be chosen near them.
/// A server in another zone is chosen only if it saves more waiting time than
/// crossing the zone boundary costs. Not thread-safe.
class stage_router final
{
public:
    using server_pointer = std::shared_ptr<const backend_server>;

    explicit stage_router(placement place);

    /// Replaces the load report of a server.
    void update_load_report(const std::string& server,
                            const server_load_report& load_report,
                            boot_clock::time_point now);

    /// Returns the last load report of a server, or nothing if it is too old to
    /// be used.
    std::optional<server_load_report>
    load_report_of(const std::string& server, boot_clock::time_point now) const;

    /// Adds items sent to a server since its last load report.
    void count_sent_items(const std::string& server, std::size_t item_count);

    /// Returns the server with the lowest cost, or null when `servers` is
    /// empty.
    server_pointer choose(const std::vector<server_pointer>& servers,
                          const stage_pool_parameters& parameters,
                          const stage_demand& demand,
                          boot_clock::time_point now) const;

    /// Returns the expected time until a server has processed the items.
    milliseconds expected_time(const backend_server& server,
                               const stage_pool_parameters& parameters,
                               const stage_demand& demand,
                               boot_clock::time_point now) const;

    /// Returns whether the last load report ejects the server.
    bool is_ejected(const std::string& server,
                    boot_clock::time_point now) const;

    void forget(const std::string& server) { records_.erase(server); }

private:
    struct server_record final
    {
        server_load_report load_report;
        boot_clock::time_point reported_at;
        std::size_t sent_items = 0;
    };

    placement place_;
    absl::flat_hash_map<std::string, server_record> records_;
};

} // namespace mangolink
