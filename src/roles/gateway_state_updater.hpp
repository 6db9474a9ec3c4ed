#pragma once

#include "base/clock.hpp"
#include "process/backend_server.hpp"
#include "process/published_entries.hpp"
#include "version/gateway_configuration.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

class gateway_state;
enum class directory_change : std::uint8_t;

/// Oldest knowledge that is passed on to others, and taken from them: a watch
/// of 1.5 s at its end, and a slow answer. A leaving server must get no work
/// 2.5 s after its report.
constexpr milliseconds max_relayed_age{1900};

/// Takes what a platform publishes into the state of a gateway, and logs
/// every change of what the gateway believes. Used by one thread.
class gateway_state_updater final
{
public:
    /// `changed` is called after each change of the usable servers or of the
    /// configuration; `gone` with the id of a server that takes no new work.
    gateway_state_updater(gateway_state& state, std::function<void()> changed,
                          std::function<void(const std::string&)> gone);

    /// Takes a configuration that was the newest one at `as_of`.
    void configuration(gateway_configuration_data data,
                       boot_clock::time_point as_of);

    /// Takes that nothing newer than the configuration in force existed.
    void confirm_configuration(boot_clock::time_point as_of);

    /// Takes that all entries published by `as_of` were taken.
    void confirm_entries(boot_clock::time_point as_of);

    /// Takes that the source failed for another process that reads it.
    void record_peer_failure(boot_clock::time_point at);

    /// Returns the entries as they are published.
    const published_entries& entries() const { return entries_; }

    /// Returns the time since they were confirmed; nothing before the first.
    std::optional<milliseconds> entries_age(boot_clock::time_point now) const;

    /// Returns the time since the source failed, if that was lately.
    std::optional<milliseconds> failure_age(boot_clock::time_point now) const;

    /// Takes a listing of all servers.
    void replace_servers(std::vector<backend_server> servers,
                         boot_clock::time_point now);

    /// Takes the entry of one server, or its removal.
    void put(backend_server server);
    void remove_server(const std::string& id, boot_clock::time_point now);

    /// Takes a published value that can't be read.
    void report_invalid_value(std::string_view key, std::string_view reason);

    /// Takes whether the platform answered a call for `what`.
    void on_source_answered(std::string_view what, boot_clock::time_point now);
    void on_source_failed(std::string_view what, std::string_view reason,
                          boot_clock::time_point now);

    /// Does what is due by time.
    void on_time(boot_clock::time_point now);

private:
    bool store_disrupted(boot_clock::time_point now) const;
    void log_change(const backend_server& server, directory_change change);
    void report_removed(const std::string& id, std::string_view why);

    gateway_state& state_;
    std::function<void()> on_changed_;
    std::function<void(const std::string&)> on_server_gone_;
    published_entries entries_;
    std::optional<boot_clock::time_point> entries_confirmed_at_;
    std::vector<std::string>
        failing_reads_; ///< what the source does not answer
    boot_clock::time_point last_failure_;
};

} // namespace mangolink
