#pragma once

#include "engine.hpp"
#include "lab/child_process.hpp"
#include "stage_engine.hpp"
#include "store_standin.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <memory>
#include <string>

namespace review
{

/// One process of the deploy file, with settings as platform/gateway.toml.in
/// gives them to an edge machine of a small deployment.
class gateway final
{
public:
    /// `number` selects the loopback address of the machine.
    gateway(unsigned number, const std::string& zone, const std::string& store,
            const std::string& seed, const std::string& folder);

    std::string callers() const { return host_ + ":8625"; }
    std::string peers() const { return host_ + ":7740"; }

    void start();
    void kill();

    /// Waits until the process says that it is ready.
    bool wait_until_ready() const;

private:
    std::string host_;
    std::string settings_;
    std::string log_;
    std::unique_ptr<mangolink::bench::child_process> process_;
};

/// Host of all routes, key of the tenant "foundry", another key of it.
inline constexpr const char* route_host = "pule25.example";
inline constexpr const char* first_key = "9dnn2ctnfzs989anu6ws";
inline constexpr const char* second_key = "jnbanfqasnmgkcuyj8pj";

/// Host address of the machine with this number, on the loopback network.
std::string machine_address(unsigned number);

/// Returns a configuration like that of hamarvik-stoperi: a resumable stream
/// ("/talk/"), the same with a stage before it ("/draft/"), a non-idempotent
/// request ("/enter/") and its status ("/look/").
nlohmann::json small_configuration(unsigned version,
                                   const std::vector<std::string>& keys);

/// Writes the entry of an engine as the engine itself does.
void register_engine(platform_store& store, const engine& one,
                     const std::string& service, const std::string& zone,
                     unsigned slots);

/// The same for an engine of stages, with the number of the report.
void register_stage_engine(platform_store& store, const stage_engine& one,
                           const std::string& service, const std::string& zone,
                           unsigned sequence);

/// Returns a request of a requester; `more` holds further header lines.
std::string request_head(const std::string& method, const std::string& target,
                         const std::string& id, const std::string& key,
                         const std::string& more);

/// Result of a case: writes lines to record.txt with the time since its start.
class case_record final
{
public:
    case_record();

    void write(const std::string& line);

    /// Writes all requests that an engine has received.
    void write_runs(const engine& one);

    /// Milliseconds from the start of the case.
    long long at(steady_time time) const;

private:
    steady_time start_;
    std::ofstream out_;
};

/// Returns whether the case plays its disruption (TROUBLE is not 0).
bool with_trouble();

/// Returns a new folder for settings and logs, removed at the end of run.sh.
std::string work_folder();

/// Exit codes of run.sh.
enum class verdict : std::uint8_t
{
    held = 0,
    broken = 1,
    not_run = 2
};

/// Runs a case and returns its exit code; an exception means that it could not
/// run.
int run_case(verdict (*play)(case_record& record));

} // namespace review
