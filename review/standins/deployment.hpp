#pragma once

#include "http.hpp"

#include <sys/types.h>

#include <string>
#include <vector>

namespace review
{

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// Returns whether the case plays its disruption (TROUBLE is not 0).
bool with_trouble();

/// Temporary folder that is removed at the end.
class temporary_folder final
{
public:
    temporary_folder();
    ~temporary_folder();

    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    const std::string& path() const { return path_; }

private:
    std::string path_;
};

/// Gateway process with the command of the deploy file, run in the root of the
/// repository, and settings as the platform writes them.
class gateway final
{
public:
    /// `number`: 1 or more, part of the name and of the loopback address.
    gateway(unsigned number, unsigned gateways, const std::string& store,
            int peer_port, const std::string& folder);

    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    ~gateway() { kill(); }

    void start();

    /// Sends SIGKILL and waits for the end of the process.
    void kill();

    /// Returns whether the process runs; records its end otherwise.
    bool running();

    /// Returns whether the gateway gets ready within ten seconds.
    bool wait_until_ready() const;

    const std::string& callers() const { return callers_; }
    const std::string& name() const { return name_; }

    /// Returns how the process ended, or "running".
    const std::string& end_text() const { return end_; }

    /// Returns the last line of the log.
    std::string last_log_line() const;

private:
    bool ready() const;

    std::string name_;
    std::string settings_path_;
    std::string log_path_;
    std::string callers_;
    std::string readiness_;
    std::string end_ = "running";
    pid_t process_ = -1;
};

/// Returns the text of a published entry of an engine. `start`: number of its
/// start under its id.
std::string engine_entry(const std::string& service, const std::string& address,
                         int slots, int start = 0);

/// Returns a route for host "site.example"; `more` is appended to its fields.
std::string route_text(const std::string& prefix, const std::string& kind,
                       const std::string& service,
                       const std::string& more = {});

/// Returns a configuration with one tenant, "t1".
std::string configuration_text(int version, const std::string& routes,
                               const std::string& services,
                               const std::vector<std::string>& keys);

/// Returns a request with the headers that a requester sends.
std::string request_text(const std::string& target, const std::string& id,
                         const std::string& key, milliseconds deadline,
                         const std::string& more_headers = {});

} // namespace review
