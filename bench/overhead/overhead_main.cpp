#include "base/log.hpp"
#include "lab/deployment.hpp"
#include "lab/process_usage.hpp"
#include "load/load_driver.hpp"
#include "load/load_report.hpp"

#include <absl/strings/str_format.h>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <thread>

namespace
{

using namespace mangolink;
using namespace mangolink::bench;
using nlohmann::json;

constexpr const char* entry = "entry-1";
constexpr int encoder_count = 4;
constexpr int engine_count = 8;
constexpr std::uint32_t stream_tokens = 900;
constexpr double megabyte = 1024.0 * 1024.0;

/// Result of one load run and the resources that the entry used.
struct measurement final
{
    json report;
    double entry_cores = 0;
    double entry_megabytes = 0; ///< peak resident memory
    double tokens_per_second = 0;
    milliseconds stolen{0}; ///< steal time of all processors
};

json pipelines()
{
    return json::parse(R"({
      "short": {"stages": [
        {"name": "encode", "kind": "encode", "pool": "encoders"}]},
      "talk": {"deadline_ms": 60000, "stages": [
        {"name": "generate", "kind": "generate", "pool": "engines"}]}})");
}

std::vector<server_plan> servers()
{
    std::vector<server_plan> result;
    for (int i = 1; i <= encoder_count; ++i)
    {
        server_plan server{"enc-" + std::to_string(i), "encoders"};
        server.limit = 256;
        result.push_back(server);
    }
    for (int i = 1; i <= engine_count; ++i)
    {
        server_plan server{"eng-" + std::to_string(i), "engines", "engine"};
        server.limit = 256;
        server.model = json{
            {"step_us", 16'000}, {"step_per_seq_us", 0}, {"max_batch", 256}};
        result.push_back(server);
    }
    return result;
}

load_plan short_plan(double rate, const std::string& path)
{
    load_plan plan;
    request_class kind;
    kind.name = "short";
    kind.path = path;
    kind.customer = "caster";
    plan.classes.push_back(kind);
    plan.rate = rate;
    plan.length = std::chrono::seconds(10);
    plan.threads = 2;
    return plan;
}

measurement run(const deployment& lab, const load_plan& plan)
{
    measurement result;
    std::atomic<bool> done{false};
    const auto before = process_usage::of(lab.process_id(entry));
    const auto steal_before = steal_time();
    const auto begin = boot_clock::now();
    std::thread sampler(
        [&]
        {
            while (!done)
            {
                const auto now = process_usage::of(lab.process_id(entry));
                result.entry_megabytes = std::max(
                    result.entry_megabytes,
                    static_cast<double>(now.resident_bytes) / megabyte);
                std::this_thread::sleep_for(milliseconds(100));
            }
        });
    const auto samples = run_load(plan);
    const std::chrono::duration<double> wall = boot_clock::now() - begin;
    const auto after = process_usage::of(lab.process_id(entry));
    result.stolen = steal_time() - steal_before;
    done = true;
    sampler.join();
    result.report = make_report(plan, samples);
    result.entry_cores =
        std::chrono::duration<double>(after.processor - before.processor) /
        wall;
    result.tokens_per_second =
        result.report["tokens"].get<double>() / wall.count();
    return result;
}

/// Opens this many long-lived streams within one second.
load_plan stream_plan(int streams)
{
    load_plan plan;
    request_class kind;
    kind.name = "talk";
    kind.path = "/v1/pipelines/talk/requests";
    kind.customer = "caster";
    kind.deadline = std::chrono::seconds(60);
    kind.max_tokens = stream_tokens;
    kind.streamed = true;
    plan.classes.push_back(kind);
    plan.rate = streams;
    plan.length = std::chrono::seconds(1);
    plan.threads = 3;
    return plan;
}

void print(const std::string& name, const measurement& result)
{
    const json& latency = result.report["latency_ms"];
    if (!latency.is_object())
    {
        std::cout << name << ": no request completed\n";
        return;
    }
    std::cout << absl::StrFormat(
        "%-28s share %.4f  p50 %7.2f ms  p99 %7.2f ms  entry %.2f cores "
        "%5.1f MB  %6.0f tokens/s  %d ms stolen\n",
        name, result.report["attainment"]["share"].get<double>(),
        latency["p50"].get<double>(), latency["p99"].get<double>(),
        result.entry_cores, result.entry_megabytes, result.tokens_per_second,
        result.stolen.count());
}

load_plan direct_plan(const deployment& lab, double rate)
{
    load_plan plan = short_plan(rate, "/v1/embeddings");
    for (int i = 1; i <= encoder_count; ++i)
    {
        plan.targets.push_back(lab.backend_address("enc-" + std::to_string(i)));
    }
    return plan;
}

} // namespace

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    configure_log(log_level::error, "overhead");
    deployment lab(servers(), pipelines(), json{{"caster", {{"share", 1}}}});
    lab.start_all({argv + 1, argv + argc});
    const std::string caller = lab.caller_address(entry);
    const std::string path = "/v1/pipelines/short/requests";

    load_plan warm_up = short_plan(200, path);
    warm_up.targets = {caller};
    warm_up.length = std::chrono::seconds(2);
    run_load(warm_up);

    for (const double rate : {500.0, 1500.0, 3000.0, 4500.0})
    {
        print(absl::StrFormat("direct, %.0f/s", rate),
              run(lab, direct_plan(lab, rate)));
        load_plan plan = short_plan(rate, path);
        plan.targets = {caller};
        print(absl::StrFormat("entry and agent, %.0f/s", rate), run(lab, plan));
    }
    for (const int count : {250, 500, 1000})
    {
        load_plan streams = stream_plan(count);
        streams.targets = {caller};
        print(absl::StrFormat("%d open streams", count), run(lab, streams));
    }
    return 0;
}
