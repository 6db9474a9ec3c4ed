#pragma once

#include "base/clock.hpp"
#include "process/limit_shares.hpp"
#include "process/server_limit_table.hpp"
#include "request/demand_meter.hpp"
#include "request/send_permit.hpp"
#include "request/token_bucket.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>

namespace mangolink
{

struct backend_server;

/// How the processes that send to a server are chosen.
enum class sender_role : std::uint8_t
{
    chosen,    ///< a few of all processes, by the limiter
    owner,     ///< this process makes the calls of the server
    substitute ///< the owner does, but did not respond to some process
};

/// Limits the requests that this process sends to servers which name a rate
/// limit, or that are cold, so that all processes together stay below it.
///
/// Each send needs a permit. Not thread-safe; must outlive its permits.
class server_rate_limiter final
{
public:
    /// `self`: name of this process.
    explicit server_rate_limiter(std::string self);

    /// Records the limit that an answer named; no_rate_limit if it named none.
    server_limit_change record_answer(const backend_server& server,
                                      double per_second,
                                      boot_clock::time_point request_sent,
                                      boot_clock::time_point now);

    /// Adds what another process knows.
    server_limit_change merge(const server_limit_news& news);

    /// Requests a second that a cold server takes, by service.
    using cold_rates = absl::flat_hash_map<std::string, double>;

    /// Replaces the rates of cold servers; those of other services have none. A
    /// process that has just started sends cold servers nothing, as it does not
    /// know yet with how many others it shares their rates.
    void set_cold_rates(cold_rates rates) { cold_rates_ = std::move(rates); }

    /// Returns whether a server is cold and its service has a rate for that.
    bool is_cold_limited(const backend_server& server,
                         boot_clock::time_point now) const;

    /// Returns the limit of a server at the last call with a time: the one that
    /// it named, or the one of a cold server if that is lower. Nothing: none.
    std::optional<double> limit_of(const backend_server& server) const;

    /// Takes a permit. Returns nothing if there is none now.
    std::optional<send_permit> acquire(const backend_server& server,
                                       sender_role role,
                                       boot_clock::time_point now);

    /// Returns whether there is a permit now.
    bool may_send(const backend_server& server, sender_role role,
                  boot_clock::time_point now);

    /// Returns the time until there is a permit, 0 if there is one now, or
    /// nothing if this process gets none.
    std::optional<milliseconds> time_until_permit(const backend_server& server,
                                                  sender_role role,
                                                  boot_clock::time_point now);

    /// Returns how many permits this process, chosen as a sender, can expect
    /// within a time; requires that the server has a limit.
    double expected_permits(const backend_server& server, milliseconds time,
                            boot_clock::time_point now);

    /// Returns the own share of a server's limit; requires that it has one.
    limit_share share_of(const backend_server& server, sender_role role,
                         boot_clock::time_point now);

    /// Applies changes of the processes and of the demand; called periodically
    /// with all processes that are alive, this one among them.
    void update(const std::vector<limit_process>& alive,
                boot_clock::time_point now);

    server_limit_table& limits() { return table_; }
    const server_limit_table& limits() const { return table_; }
    limit_shares& shares() { return shares_; }
    demand_meter& demand() { return demand_; }

private:
    struct server_entry final
    {
        token_bucket bucket;
        limit_share share{};
        double per_second = 0;
        boot_clock::time_point cold_until{}; ///< of the server
        bool settled = false;
        std::uint64_t shares_version = 0;
        sender_role role = sender_role::chosen;
    };

    std::optional<double> limit_at(const backend_server& server,
                                   boot_clock::time_point now) const;

    /// Returns the up-to-date entry of a limited server, or null.
    server_entry* find_entry(const backend_server& server, sender_role role,
                             boot_clock::time_point now);
    limit_share make_share(const backend_server& server, sender_role role,
                           double per_second) const;

    /// The same for a cold server; none before this process has settled.
    limit_share make_cold_share(std::uint64_t server_start, sender_role role,
                                double per_second, bool settled) const;

    /// Removes all tokens if the process was suspended.
    void check_time(boot_clock::time_point now);

    std::string self_;
    server_limit_table table_;
    limit_shares shares_;
    demand_meter demand_;
    absl::flat_hash_map<std::uint64_t, server_entry> entries_; ///< by start
    cold_rates cold_rates_;
    boot_clock::time_point last_time_;
    std::optional<boot_clock::time_point> first_time_; ///< of any call
};

} // namespace mangolink
