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
    "Runs policies in turn on the same seeds and prints them side by side.\n\n"
    "  --rate R          arrivals per second (100)\n"
    "  --seconds S       length of a run (10)\n"
    "  --seeds LIST      seeds, as 1,2,3\n"
    "  --fault NAME      none, slow-engine or killed-engine (none)\n"
    "  --policies LIST   of mangolink, round-robin, least-requests (all)\n"
    "  --output FILE     write all reports there, JSON\n";

/// A policy is a list of settings of the entries.
struct policy_row final
{
    std::string_view name;
    std::vector<std::string> settings;
};

const std::vector<policy_row> policies{
    {"mangolink", {}},
    {"round-robin",
     {"routing.policy=\"round_robin\"", "limits.admission=false"}},
    {"least-requests",
     {"routing.policy=\"least_requests\"", "limits.admission=false"}},
};

struct compare_line final
{
    std::string example;
    load_plan plan;
    std::vector<std::uint64_t> seeds{1, 2, 3};
    std::string fault = "none";
    std::string wanted = "mangolink,round-robin,least-requests";
    std::string output;
};

/// The lowest, middle and highest of a figure over the seeds.
class figure_range final
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
    const json& row = report[name];
    return row.is_object() ? row.value(which, 0.0) : 0.0;
}

double stage_sum(const json& report, const char* name)
{
    double sum = 0;
    for (const auto& row : report.value("stages", json::object()))
    {
        sum += row.value(name, 0.0);
    }
    return sum;
}

void bring_fault(deployment& lab, const std::string& fault)
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

json run_policy(const compare_line& line, const json& example,
                const policy_row& policy)
{
    json reports = json::array();
    for (const std::uint64_t seed : line.seeds)
    {
        deployment lab(deployment_plan::expand(example, ""));
        lab.start_all(policy.settings);
        load_plan plan = line.plan;
        plan.classes = load_plan::parse(example).classes;
        for (const auto& row : lab.plan().entries)
        {
            plan.targets.push_back(lab.caller_address(row.name));
        }
        // What the entries learn, they learn before the measured run.
        load_plan warm = plan;
        warm.seed = seed + 1000;
        warm.rate = plan.rate / 4;
        warm.length = std::chrono::seconds(3);
        run_load(warm);
        bring_fault(lab, line.fault);
        plan.seed = seed;
        reports.push_back(make_report(plan, run_load(plan)));
    }
    return reports;
}

void print(std::string_view name, const json& reports)
{
    figure_range attained;
    figure_range first;
    figure_range gap;
    figure_range refusal;
    figure_range recomputed;
    figure_range crossed;
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

bool take_flag(int found, const char* value, compare_line& line)
{
    switch (found)
    {
    case 'e':
        line.example = value;
        return true;
    case 'r':
        line.plan.rate = std::stod(value);
        return true;
    case 's':
        line.plan.length = std::chrono::duration<double>(std::stod(value));
        return true;
    case 'S':
        line.seeds = numbers(value);
        return true;
    case 'f':
        line.fault = value;
        return true;
    case 'p':
        line.wanted = value;
        return true;
    case 'o':
        line.output = value;
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
    compare_line line;
    line.plan.threads = 2;
    for (int found = 0;
         (found = getopt_long(argc, argv, "h", options, nullptr)) != -1;)
    {
        if (!take_flag(found, optarg, line))
        {
            std::cout << help;
            return found == 'h' ? 0 : 2;
        }
    }
    try
    {
        std::ifstream input(line.example);
        const json example = json::parse(input);
        json all = json::object();
        for (const auto& policy : policies)
        {
            if (line.wanted.find(policy.name) != std::string::npos)
            {
                const json reports = run_policy(line, example, policy);
                print(policy.name, reports);
                all[std::string(policy.name)] = reports;
            }
        }
        if (!line.output.empty())
        {
            std::ofstream(line.output) << all.dump(1) << "\n";
        }
    }
    catch (const std::exception& error)
    {
        std::cerr << "mangolink-compare: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
