#include "base/log.hpp"
#include "lab/deployment.hpp"
#include "lab/process_usage.hpp"

#include <absl/strings/str_format.h>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <sstream>
#include <thread>

namespace
{

using namespace mangolink;
using namespace mangolink::bench;
using nlohmann::json;

constexpr std::chrono::seconds measurement_time{15};
constexpr double megabyte = 1024.0 * 1024.0;

/// Number of processes of an idle deployment.
struct idle_scenario final
{
    int agents;
    int entries;
};

double metric(const deployment& lab, const std::string& process,
              const std::string& name)
{
    std::istringstream page(lab.admin(process, "GET", "/metrics").body);
    for (std::string line; std::getline(page, line);)
    {
        if (line.starts_with(name + " "))
        {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return 0;
}

/// Measures processor time, memory and traffic of a process without requests.
class idle_meter final
{
public:
    idle_meter(const deployment& lab, std::string process)
        : lab_(lab), process_(std::move(process)),
          before_(process_usage::of(lab.process_id(process_))),
          sent_(metric(lab, process_, "mangolink_peer_sent_bytes")),
          received_(metric(lab, process_, "mangolink_peer_received_bytes"))
    {
    }

    std::string text() const
    {
        const auto after = process_usage::of(lab_.process_id(process_));
        const std::chrono::duration<double> spent =
            after.processor - before_.processor;
        const double seconds = measurement_time.count();
        const double sent =
            metric(lab_, process_, "mangolink_peer_sent_bytes") - sent_;
        const double received =
            metric(lab_, process_, "mangolink_peer_received_bytes") - received_;
        return absl::StrFormat(
            "%-8s %.3f %% of a core, %5.1f MB, sent %6.0f B/s, received "
            "%6.0f B/s",
            process_, 100 * spent.count() / seconds,
            static_cast<double>(after.resident_bytes) / megabyte,
            sent / seconds, received / seconds);
    }

private:
    const deployment& lab_;
    std::string process_;
    process_usage before_;
    double sent_;
    double received_;
};

void measure(const idle_scenario& size,
             const std::vector<std::string>& overrides)
{
    deployment_plan plan;
    plan.entries.clear();
    for (int i = 1; i <= size.agents; ++i)
    {
        plan.servers.push_back({"enc-" + std::to_string(i), "encoders"});
    }
    for (int i = 1; i <= size.entries; ++i)
    {
        plan.entries.push_back({"entry-" + std::to_string(i)});
    }
    plan.pipelines = json::parse(R"({"short": {"stages": [
        {"name": "encode", "kind": "encode", "pool": "encoders"}]}})");
    plan.customers = json{{"caster", json::object()}};
    deployment lab(std::move(plan));
    lab.start_all(overrides);
    const idle_meter entry(lab, "entry-1");
    const idle_meter agent(lab, "enc-1");
    std::this_thread::sleep_for(measurement_time);
    std::cout << absl::StrFormat("%3d agents, %2d entries\n  %s\n  %s\n",
                                 size.agents, size.entries, entry.text(),
                                 agent.text());
}

} // namespace

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    configure_log(log_level::error, "idle");
    std::vector<std::string> overrides{"routing.subset_size=512"};
    overrides.insert(overrides.end(), argv + 1, argv + argc);
    for (const auto& size :
         {idle_scenario{4, 1}, idle_scenario{32, 1}, idle_scenario{96, 1},
          idle_scenario{4, 8}, idle_scenario{4, 24}})
    {
        measure(size, overrides);
    }
    return 0;
}
