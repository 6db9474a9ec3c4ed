#include "deployment.hpp"

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <stdexcept>

namespace review
{
namespace
{

using nlohmann::json;

constexpr milliseconds ready_limit{15'000};

json route(const std::string& prefix, const std::string& kind,
           const std::string& service, unsigned timeout_ms, unsigned aim_ms,
           unsigned attempts)
{
    return {{"name", "r" + prefix},
            {"hostname", route_host},
            {"prefix", prefix},
            {"routeType", kind},
            {"timeoutMs", timeout_ms},
            {"targetLatencyMs", aim_ms},
            {"priority", 1},
            {"service", service},
            {"maxAttempts", attempts},
            {"phases", json::array()},
            {"anonymous", false},
            {"sessionAffinity", false},
            {"allowedRegions", json::array()}};
}

} // namespace

std::string machine_address(unsigned number)
{
    constexpr unsigned range = 200;
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + process % range) + "." +
           std::to_string(process / range % range) + "." +
           std::to_string(number);
}

gateway::gateway(unsigned number, const std::string& zone,
                 const std::string& store, const std::string& seed,
                 const std::string& folder)
    : host_(machine_address(number)),
      settings_(folder + "/boot-" + std::to_string(number) + ".toml"),
      log_(folder + "/gateway-" + std::to_string(number) + ".log")
{
    std::ofstream out(settings_);
    out << "[instance]\nname = \"edge-" << zone << "-1\"\nzone = \"" << zone
        << "\"\nregion = \"" << zone.substr(0, zone.find('-'))
        << "\"\nlog_level = \"notice\"\nmax_descriptors = 4100\n"
        << "memory_mb = 260\nprocessor_share = 0.19\n"
        << "[gateway]\ncallers = \"" << callers() << "\"\nreadiness = \""
        << host_ << ":8621\"\npeers = \"" << peers() << "\"\noperators = \""
        << host_ << ":7755\"\nseeds = [\"" << seed << ":8628\"]\n"
        << "stop_limit_ms = 8000\n[platform]\nstore = \"" << store
        << "\"\nzones = [\"vestland-a=vestland\",\"viken-a=viken\"]\n"
        << "[keys]\nrevocation_limit_ms = 5000\n[balancing]\n"
        << "weighs_prompts = true\nshares_stage_backlogs = true\n"
        << "[retries]\nratio = 0.2\nwindow_ms = 10000\nslack = 58\n";
    out.close();
    start();
}

void gateway::start()
{
    const char* program = std::getenv("GATEWAY");
    process_ = std::make_unique<mangolink::bench::child_process>(
        std::vector<std::string>{program == nullptr ? "" : program,
                                 "--settings", settings_},
        log_);
}

void gateway::kill()
{
    constexpr milliseconds limit{5000};
    process_->signal(SIGKILL);
    process_->wait(limit);
}

bool gateway::wait_until_ready() const
{
    return mangolink::bench::wait_until(
        [this]
        {
            http_peer probe(host_ + ":8621");
            if (!probe.connected() ||
                !probe.send(
                    "GET /v1/readyz HTTP/1.1\r\nHost: balancer\r\n\r\n"))
            {
                return false;
            }
            const auto answer = probe.read(milliseconds(1000));
            return answer && answer->status() == 200;
        },
        ready_limit);
}

json small_configuration(unsigned version, const std::vector<std::string>& keys)
{
    auto talk = route("/talk/", "streaming", "smelte", 6000, 920, 2);
    talk["streamResume"] = true;
    talk["targetGapMs"] = 400;
    auto draft = talk;
    draft["name"] = "r/draft/";
    draft["prefix"] = "/draft/";
    draft["phases"] = {
        {{"service", "mould"}, {"after", json::array()}, {"length", 8000}}};
    return {{"version", version},
            {"routes",
             {talk, draft,
              route("/enter/", "non_idempotent", "order", 1500, 150, 1),
              route("/look/", "idempotent", "order", 1500, 150, 1)}},
            {"services",
             {{{"name", "mould"},
               {"healthPath", "/healthz"},
               {"maxConnections", 630},
               {"protocol", "h1"},
               {"tls", false},
               {"segments",
                {{"slots", 1},
                 {"queueDepth", 2},
                 {"batchSize", 12},
                 {"callTimeMs", 150.0},
                 {"itemTimeMs", 11.0},
                 {"headroomMb", 61.0},
                 {"handleTtlS", 4.0},
                 {"linkMbps", 10000}}}},
              {{"name", "smelte"},
               {"healthPath", "/healthz"},
               {"maxConnections", 630},
               {"protocol", "h1"},
               {"tls", false},
               {"engine", {{"slots", 128}, {"kvCapacity", 743294}}}},
              {{"name", "order"},
               {"healthPath", "/healthz"},
               {"maxConnections", 110},
               {"protocol", "h1"},
               {"tls", false}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants",
             {{{"name", "foundry"}, {"apiKeys", keys}, {"priority", 1}}}}};
}

void register_engine(platform_store& store, const engine& one,
                     const std::string& service, const std::string& zone,
                     unsigned slots)
{
    const json entry{
        {"service", service}, {"address", one.address()}, {"zone", zone},
        {"version", "v1"},    {"slots", slots},           {"state", "ready"},
        {"sequence", 1},      {"coldRemainingMs", 0},     {"born", 1}};
    store.put("servers/" + one.id(), entry.dump());
}

void register_stage_engine(platform_store& store, const stage_engine& one,
                           const std::string& service, const std::string& zone,
                           unsigned sequence)
{
    const json entry{{"service", service},
                     {"address", one.address()},
                     {"zone", zone},
                     {"version", "v1"},
                     {"slots", 1},
                     {"state", "ready"},
                     {"sequence", sequence},
                     {"coldRemainingMs", 0},
                     {"born", 1}};
    store.put("servers/" + one.id(), entry.dump());
}

std::string request_head(const std::string& method, const std::string& target,
                         const std::string& id, const std::string& key,
                         const std::string& more)
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + route_host +
           "\r\nX-Attempt-Id: " + id + "\r\nX-Key: " + key + "\r\n" + more +
           "\r\n";
}

case_record::case_record()
    : start_(std::chrono::steady_clock::now()), out_("record.txt")
{
}

void case_record::write(const std::string& line)
{
    out_ << at(std::chrono::steady_clock::now()) << " ms  " << line
         << std::endl;
}

void case_record::write_runs(const engine& one)
{
    for (const auto& run : one.runs())
    {
        write("engine " + one.id() + (run.ran ? " ran " : " refused ") +
              run.request.method() + " " + run.request.target() + " id " +
              run.request.header("x-attempt-id") + " last-event-id '" +
              run.request.header("last-event-id") + "' body of " +
              std::to_string(run.request.body.size()) + " bytes, from " +
              std::to_string(at(run.begun)) + " to " +
              std::to_string(at(run.ended)) + " ms: " + run.end);
    }
}

long long case_record::at(steady_time time) const
{
    return std::chrono::duration_cast<milliseconds>(time - start_).count();
}

bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string work_folder()
{
    const char* folder = std::getenv("WORK");
    if (folder == nullptr)
    {
        throw std::runtime_error("WORK names no folder");
    }
    return folder;
}

int run_case(verdict (*play)(case_record& record))
{
    case_record record;
    try
    {
        const auto result = play(record);
        record.write(result == verdict::broken ? "RULE BROKEN"
                     : result == verdict::held ? "rule held"
                                               : "case not run");
        return static_cast<int>(result);
    }
    catch (const std::exception& error)
    {
        record.write(std::string("case not run: ") + error.what());
        return static_cast<int>(verdict::not_run);
    }
}

} // namespace review
