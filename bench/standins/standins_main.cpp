#include "base/stop_signal.hpp"
#include "standins/delayed_answers.hpp"
#include "standins/engine_server.hpp"
#include "standins/execution_record.hpp"
#include "standins/plain_server.hpp"
#include "standins/platform_server.hpp"
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

/// All stand-ins of one process, in the order of their construction.
struct standin_set final
{
    bench::execution_record record;
    bench::delayed_answers timer;
    std::vector<std::unique_ptr<bench::plain_server>> plain;
    std::vector<std::unique_ptr<bench::engine_server>> engines;
    std::vector<std::unique_ptr<bench::weight_store>> weights;
    std::unique_ptr<bench::platform_server> platform;
};

void add_plain(standin_set& set, const json& row)
{
    set.plain.push_back(std::make_unique<bench::plain_server>(
        bench::plain_server_settings{
            .name = row.at("name"),
            .listen = row.at("listen"),
            .service_time = microseconds(row.value("service_us", 2000)),
            .seed = row.value("seed", std::uint64_t(1))},
        set.record, set.timer));
}

void add_engine(standin_set& set, const json& row)
{
    bench::engine_model_settings model;
    model.step_base = microseconds(row.value("step_us", 8000));
    model.step_per_sequence = microseconds(row.value("step_per_seq_us", 100));
    model.prefill_per_token =
        microseconds(row.value("prefill_us_per_token", 30));
    model.max_batch = row.value("max_batch", 32U);
    set.engines.push_back(std::make_unique<bench::engine_server>(
        bench::engine_server_settings{
            .name = row.at("name"),
            .listen = row.at("listen"),
            .model = model,
            .checks_fence = row.value("checks_fence", true),
            .report_lag = milliseconds(row.value("report_lag_ms", 500)),
            .event_gaps = row.value("event_gaps", 0.05),
            .seed = row.value("seed", std::uint64_t(1))},
        set.record));
}

void build(standin_set& set, const json& plan)
{
    for (const auto& row : plan.value("servers", json::array()))
    {
        row.value("kind", "") == "engine" ? add_engine(set, row)
                                          : add_plain(set, row);
    }
    if (plan.contains("weight_store"))
    {
        const json& row = plan["weight_store"];
        set.weights.push_back(std::make_unique<bench::weight_store>(
            row.at("listen"), row.value("rate", 2.0)));
    }
    if (plan.contains("platform"))
    {
        const json& row = plan["platform"];
        set.platform = std::make_unique<bench::platform_server>(
            bench::platform_server_settings{
                row.at("listen"), row.at("value"),
                row.value("instances", json::array())},
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
        std::cerr << "mangolink-standins: --plan FILE must be a JSON plan\n";
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
