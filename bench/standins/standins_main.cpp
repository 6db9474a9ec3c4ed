#include "base/stop_signal.hpp"
#include "standins/engine_server.hpp"
#include "standins/execution_record.hpp"
#include "standins/plain_server.hpp"
#include "standins/platform_server.hpp"
#include "standins/timer_queue.hpp"
#include "standins/weight_store.hpp"

#include <getopt.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <memory>
#include <vector>

namespace
{

using mangolink::microseconds;
using mangolink::milliseconds;
using nlohmann::json;
namespace bench = mangolink::bench;

/// All stand-ins of one process. The servers refer to the record and the timer,
/// which are declared first and therefore destroyed last.
struct standin_set final
{
    bench::execution_record record;
    bench::timer_queue timer;
    std::vector<std::unique_ptr<bench::plain_server>> plain;
    std::vector<std::unique_ptr<bench::engine_server>> engines;
    std::vector<std::unique_ptr<bench::weight_store>> weights;
    std::unique_ptr<bench::platform_server> platform;
};

void add_plain(standin_set& set, const json& entry)
{
    set.plain.push_back(std::make_unique<bench::plain_server>(
        bench::plain_server_settings{
            .name = entry.at("name"),
            .listen = entry.at("listen"),
            .service_time = microseconds(entry.value("service_us", 2000)),
            .seed = entry.value("seed", std::uint64_t(1))},
        set.record, set.timer));
}

void add_engine(standin_set& set, const json& entry)
{
    bench::engine_model_settings model;
    model.step_base = microseconds(entry.value("step_us", 8000));
    model.step_per_sequence = microseconds(entry.value("step_per_seq_us", 100));
    model.prefill_per_token =
        microseconds(entry.value("prefill_us_per_token", 30));
    model.max_batch = entry.value("max_batch", 32U);
    set.engines.push_back(std::make_unique<bench::engine_server>(
        bench::engine_server_settings{
            .name = entry.at("name"),
            .listen = entry.at("listen"),
            .model = model,
            .checks_fence = entry.value("checks_fence", true),
            .report_lag = milliseconds(entry.value("report_lag_ms", 500)),
            .event_gaps = entry.value("event_gaps", 0.05),
            .seed = entry.value("seed", std::uint64_t(1))},
        set.record));
}

void build(standin_set& set, const json& plan)
{
    for (const auto& entry : plan.value("servers", json::array()))
    {
        entry.value("kind", "") == "engine" ? add_engine(set, entry)
                                            : add_plain(set, entry);
    }
    if (plan.contains("weight_store"))
    {
        const json& entry = plan["weight_store"];
        set.weights.push_back(std::make_unique<bench::weight_store>(
            entry.at("listen"), entry.value("rate", 2.0)));
    }
    if (plan.contains("platform"))
    {
        const json& entry = plan["platform"];
        set.platform = std::make_unique<bench::platform_server>(
            bench::platform_server_settings{
                entry.at("listen"), entry.at("value"),
                entry.value("instances", json::array())},
            set.timer);
    }
}

} // namespace

int main(int argc, char** argv)
{
    const option options[] = {{"plan", required_argument, nullptr, 'p'},
                              {nullptr, 0, nullptr, 0}};
    std::string path;
    for (int found = 0;
         (found = getopt_long(argc, argv, "p:", options, nullptr)) != -1;)
    {
        path = found == 'p' ? optarg : "";
    }
    std::ifstream input(path);
    const json plan = json::parse(input, nullptr, false);
    if (!plan.is_object())
    {
        std::cerr
            << "mangolink-standins: --plan FILE must contain a JSON object\n";
        return 2;
    }
    const mangolink::stop_signal stop;
    standin_set set;
    try
    {
        build(set, plan);
    }
    catch (const std::exception& error)
    {
        std::cerr << "mangolink-standins: " << error.what() << "\n";
        return 1;
    }
    std::cout << "ready" << std::endl;
    while (!stop.wait(std::chrono::seconds(60)))
    {
    }
    return 0;
}
