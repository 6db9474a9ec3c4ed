#include "base/log.hpp"
#include "lab/deployment.hpp"
#include "load/load_driver.hpp"
#include "load/load_report.hpp"

#include <absl/strings/str_format.h>
#include <curl/curl.h>
#include <getopt.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

using namespace mangolink;
using namespace mangolink::bench;
using nlohmann::json;

constexpr const char* help =
    "Usage: mangolink-compare --example FILE [options]\n"
    "Runs each policy with the same seeds and compares the results.\n\n"
    "  --rate R          arrivals per second (100)\n"
    "  --seconds S       length of a run (10)\n"
    "  --seeds LIST      seeds, as 1,2,3\n"
    "  --fault NAME      none, slow-engine or killed-engine (none)\n"
    "  --policies LIST   of mangolink, round-robin, least-requests (all)\n"
    "  --output FILE     write all reports to FILE as JSON\n";

/// Routing policy, as the settings of the entries that select it.
struct policy_entry final
{
    std::string_view name;
    std::vector<std::string> settings;
};

const std::vector<policy_entry> policies{
    {"mangolink", {}},
    {"round-robin",
     {"routing.policy=\"round_robin\"", "limits.admission=false"}},
    {"least-requests",
     {"routing.policy=\"least_requests\"", "limits.admission=false"}},
};

struct compare_arguments final
{
    std::string example;
    load_plan plan;
    std::vector<std::uint64_t> seeds{1, 2, 3};
    std::string fault = "none";
    std::string wanted = "mangolink,round-robin,least-requests";
    std::string output;
};

/// Median, minimum and maximum of a metric over the seeds.
class metric_summary final
{
public:
    void add(double value) { values_.push_back(value); }

    std::string text(const char* format) const
    {
        auto sorted = values_;
        std::sort(sorted.begin(), sorted.end());
        const auto shown = [&](double value)
        { return absl::StrFormat("%8.*f", *format - '0', value); };
        return shown(sorted[sorted.size() / 2]) + " [" + shown(sorted.front()) +
               "," + shown(sorted.back()) + "]";
    }

private:
    std::vector<double> values_;
};

double quantile(const json& report, const char* name, const char* which)
{
    const json& entry = report[name];
    return entry.is_object() ? entry.value(which, 0.0) : 0.0;
}

double stage_sum(const json& report, const char* name)
{
    double sum = 0;
    for (const auto& entry : report.value("stages", json::object()))
    {
        sum += entry.value(name, 0.0);
    }
    return sum;
}

void inject_fault(deployment& lab, const std::string& fault)
{
    constexpr const char* engine = "engines-1";
    if (fault == "slow-engine")
    {
        lab.standin(engine, "/control/behaviour", R"({"slow": 10})");
    }
    else if (fault == "killed-engine")
    {
        lab.process(engine).signal(SIGKILL);
    }
}

json run_policy(const compare_arguments& arguments, const json& example,
                const policy_entry& policy)
{
    json reports = json::array();
    for (const std::uint64_t seed : arguments.seeds)
    {
        deployment lab(deployment_plan::expand(example, ""));
        lab.start_all(policy.settings);
        load_plan plan = arguments.plan;
        plan.classes = load_plan::parse(example).classes;
        for (const auto& entry : lab.plan().entries)
        {
            plan.targets.push_back(lab.caller_address(entry.name));
        }
        // Lets the estimates of the entries settle before the measured run.
        load_plan warm_up = plan;
        warm_up.seed = seed + 1000;
        warm_up.rate = plan.rate / 4;
        warm_up.length = std::chrono::seconds(3);
        run_load(warm_up);
        inject_fault(lab, arguments.fault);
        plan.seed = seed;
        reports.push_back(make_report(plan, run_load(plan)));
    }
    return reports;
}

void print(std::string_view name, const json& reports)
{
    metric_summary attained;
    metric_summary first;
    metric_summary gap;
    metric_summary refusal;
    metric_summary recomputed;
    metric_summary crossed;
    for (const auto& report : reports)
    {
        attained.add(100 * report["attainment"]["share"].get<double>());
        first.add(quantile(report, "first_token_ms", "p95"));
        gap.add(quantile(report, "token_gap_ms", "p95"));
        refusal.add(quantile(report, "refusal_ms", "p99"));
        recomputed.add(stage_sum(report, "recomputed_prompt_tokens") / 1000);
        crossed.add(stage_sum(report, "cross_region_bytes") / 1000);
    }
    std::cout << name << "\n  attained %             " << attained.text("2")
              << "\n  first token p95 ms     " << first.text("1")
              << "\n  token gap p95 ms       " << gap.text("1")
              << "\n  refusal p99 ms         " << refusal.text("1")
              << "\n  recomputed tokens, k   " << recomputed.text("0")
              << "\n  cross-region KB        " << crossed.text("0")
              << std::endl;
}

std::vector<std::uint64_t> numbers(const std::string& list)
{
    std::vector<std::uint64_t> result;
    std::istringstream words(list);
    for (std::string word; std::getline(words, word, ',');)
    {
        result.push_back(std::stoull(word));
    }
    return result;
}

bool apply_option(int found, const char* value, compare_arguments& arguments)
{
    switch (found)
    {
    case 'e':
        arguments.example = value;
        return true;
    case 'r':
        arguments.plan.rate = std::stod(value);
        return true;
    case 's':
        arguments.plan.length = std::chrono::duration<double>(std::stod(value));
        return true;
    case 'S':
        arguments.seeds = numbers(value);
        return true;
    case 'f':
        arguments.fault = value;
        return true;
    case 'p':
        arguments.wanted = value;
        return true;
    case 'o':
        arguments.output = value;
        return true;
    default:
        return false;
    }
}

} // namespace

int main(int argc, char** argv)
{
    const option options[] = {
        {"example", 1, nullptr, 'e'}, {"rate", 1, nullptr, 'r'},
        {"seconds", 1, nullptr, 's'}, {"seeds", 1, nullptr, 'S'},
        {"fault", 1, nullptr, 'f'},   {"policies", 1, nullptr, 'p'},
        {"output", 1, nullptr, 'o'},  {"help", 0, nullptr, 'h'},
        {nullptr, 0, nullptr, 0}};
    curl_global_init(CURL_GLOBAL_DEFAULT);
    configure_log(log_level::error, "compare");
    compare_arguments arguments;
    arguments.plan.threads = 2;
    for (int found = 0;
         (found = getopt_long(argc, argv, "h", options, nullptr)) != -1;)
    {
        if (!apply_option(found, optarg, arguments))
        {
            std::cout << help;
            return found == 'h' ? 0 : 2;
        }
    }
    try
    {
        std::ifstream input(arguments.example);
        const json example = json::parse(input);
        json all = json::object();
        for (const auto& policy : policies)
        {
            if (arguments.wanted.find(policy.name) != std::string::npos)
            {
                const json reports = run_policy(arguments, example, policy);
                print(policy.name, reports);
                all[std::string(policy.name)] = reports;
            }
        }
        if (!arguments.output.empty())
        {
            std::ofstream(arguments.output) << all.dump(1) << "\n";
        }
    }
    catch (const std::exception& error)
    {
        std::cerr << "mangolink-compare: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
