#pragma once

#include "base/clock.hpp"
#include "process/backend_server.hpp"
#include "process/placement.hpp"
#include "request/stage_queue.hpp"
#include "version/gateway_service.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace mangolink
{

/// What a server would have to do for an order.
struct stage_demand final
{
    std::size_t pieces = 0;
    std::uint64_t result_bytes = 0; ///< of one result
    /// Bytes of inputs that the pieces read together, by the zone they are in.
    absl::flat_hash_map<std::string, std::uint64_t> inputs_in_zone;
    std::string preferred_zone; ///< empty: none
    milliseconds preference{0}; ///< what another zone costs
};

/// Chooses the stage server that makes the pieces of an order, from what the
/// processes that make the servers' calls have told.
///
/// All pieces of an order go to one server: their results then lie together,
/// and the next stage and the model engine are chosen near them. Work leaves
/// a zone only when the wait there is longer by more than what crossing it
/// costs. Used by one thread.
class stage_router final
{
public:
    using server_pointer = std::shared_ptr<const backend_server>;

    explicit stage_router(placement place);

    /// Takes what is told of a server.
    void update_load_report(const std::string& server,
                            const server_load_report& load_report,
                            boot_clock::time_point now);

    /// Counts pieces sent to a server since its last outlook.
    void count_sent_items(const std::string& server, std::size_t pieces);

    /// Returns the server for the pieces, or null when there is none.
    server_pointer choose(const std::vector<server_pointer>& servers,
                          const stage_pool_parameters& parameters,
                          const stage_demand& demand,
                          boot_clock::time_point now) const;

    /// Returns how long pieces would take at a server.
    milliseconds expected_time(const backend_server& server,
                               const stage_pool_parameters& parameters,
                               const stage_demand& demand,
                               boot_clock::time_point now) const;

    /// Returns whether the server is known to have failed lately.
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
