#pragma once

#include "base/clock.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace mangolink::test
{

class soak_cluster;

/// Time in which a server named a rate limit.
struct limit_period final
{
    std::size_t server = 0; ///< index in soak_cluster::servers()
    double per_second = 0;
    boot_clock::time_point begin;
    boot_clock::time_point end = boot_clock::time_point::max();
};

/// Time of a state that gateways learn from the store.
struct published_period final
{
    std::string name; ///< of the server or zone
    boot_clock::time_point begin;
    boot_clock::time_point end = boot_clock::time_point::max();
};

/// Injects random, possibly overlapping faults into a cluster. Gateways are
/// stopped, paused, killed, restarted or told to reload their settings.
/// Connections are delayed, throttled, reset, cut or blocked in one direction.
/// The store is unavailable, loses answers or compacts its history. Servers
/// fail, crash, leave, return, name rate limits and become cold. Zones are
/// evacuated. Keys are revoked. Used by one thread.
class soak_faults final
{
public:
    soak_faults(soak_cluster& cluster, std::uint64_t seed);

    /// Starts one random fault and ends those that have expired.
    void step();

    /// Ends every fault.
    void end_all_faults();

    /// Returns whether a gateway ran without a fault of its own for some time
    /// before.
    bool in_touch(std::size_t gateway, boot_clock::time_point at) const;

    /// Returns the times in which servers named rate limits.
    const std::vector<limit_period>& limits() const { return limits_; }

    /// Returns the times in which the second zone was evacuated, and those in
    /// which servers were cold.
    const std::vector<published_period>& evacuations() const
    {
        return evacuations_;
    }
    const std::vector<published_period>& cold_times() const { return cold_; }

    /// Returns whether all gateways could read the store in a span of time and
    /// for some time before.
    bool store_in_touch(boot_clock::time_point begin,
                        boot_clock::time_point end) const;

    /// Returns how often each fault was started.
    const std::map<std::string, unsigned>& counts() const { return counts_; }

private:
    struct pending_end final
    {
        boot_clock::time_point at;
        std::function<void()> action;
    };
    struct outage final
    {
        boot_clock::time_point begin;
        boot_clock::time_point end = boot_clock::time_point::max();
    };
    struct fault final
    {
        const char* name;
        void (soak_faults::*begin)();
    };

    void kill_process();
    void kill_all();
    void stop_process();
    void pause_process();
    void reload_process();
    void degrade_link();
    void reset_links();
    void degrade_store();
    void drop_history();
    void fail_server();
    void break_stream();
    void silence_server();
    void crash_engines();
    void limit_server();
    bool is_limited(const std::string& server) const;
    void evacuate_zone();
    void cool_server();
    void begin_store_fault();
    void end_store_fault();
    void recover_servers();
    void begin_outage(std::size_t gateway);
    void end_outage(std::size_t gateway);
    void deregister_server();
    void fail_stage_server();
    void rotate_key();

    void end_after(milliseconds minimum, milliseconds maximum,
                   std::function<void()> action);
    void restart_after(std::size_t index, milliseconds minimum,
                       milliseconds maximum);
    std::uint64_t random_below(std::uint64_t below)
    {
        return random_() % below;
    }

    static const std::vector<fault>& faults();

    soak_cluster& cluster_;
    std::mt19937_64 random_;
    std::vector<pending_end> ends_;
    std::vector<bool> down_;   ///< by gateway: exiting, or to be restarted
    std::vector<bool> paused_; ///< by gateway
    std::vector<std::vector<outage>> outages_;    ///< by gateway
    std::map<std::string, nlohmann::json> rules_; ///< by link
    std::vector<limit_period> limits_;
    std::vector<published_period> evacuations_;
    std::vector<published_period> cold_;
    std::vector<outage> store_faults_;
    int open_store_faults_ = 0;
    std::map<std::string, unsigned> counts_;
};

} // namespace mangolink::test
