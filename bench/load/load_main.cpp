#include "load/load_driver.hpp"
#include "load/load_report.hpp"

#include <curl/curl.h>
#include <getopt.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

using namespace mangolink;
using namespace mangolink::bench;

constexpr const char* help =
    "Usage: mangolink-load --plan FILE --targets HOST:PORT[,...] [options]\n"
    "Sends an open-loop load and prints a JSON report.\n\n"
    "  --plan FILE       classes of requests and bursts, JSON\n"
    "  --targets LIST    entries, used in turn\n"
    "  --rate R          arrivals per second (100)\n"
    "  --seconds S       length of the run (10)\n"
    "  --seed N          seed of the arrivals (1)\n"
    "  --threads N       sending threads (1)\n"
    "  --output FILE     write the report there too\n"
    "  --samples FILE    write a line per request there\n";

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> result;
    std::istringstream words(list);
    for (std::string word; std::getline(words, word, ',');)
    {
        result.push_back(word);
    }
    return result;
}

/// The command line, read.
struct load_line final
{
    load_plan plan;
    std::string plan_path;
    std::string report_path;
    std::string samples_path;
};

enum flag : int
{
    plan_file = 1,
    targets,
    rate,
    seconds_flag,
    seed,
    threads,
    output,
    samples_flag
};

const option options[] = {
    {"plan", 1, nullptr, plan_file}, {"targets", 1, nullptr, targets},
    {"rate", 1, nullptr, rate},      {"seconds", 1, nullptr, seconds_flag},
    {"seed", 1, nullptr, seed},      {"threads", 1, nullptr, threads},
    {"output", 1, nullptr, output},  {"samples", 1, nullptr, samples_flag},
    {"help", 0, nullptr, 'h'},       {nullptr, 0, nullptr, 0}};

/// Takes one flag; false when it is not known or asks for help.
bool take_flag(int found, const char* value, load_line& line)
{
    load_plan& plan = line.plan;
    switch (found)
    {
    case plan_file:
        line.plan_path = value;
        return true;
    case targets:
        plan.targets = split(value);
        return true;
    case rate:
        plan.rate = std::stod(value);
        return true;
    case seconds_flag:
        plan.length = std::chrono::duration<double>(std::stod(value));
        return true;
    case seed:
        plan.seed = std::stoull(value);
        return true;
    case threads:
        plan.threads = static_cast<std::uint32_t>(std::stoul(value));
        return true;
    case output:
        line.report_path = value;
        return true;
    case samples_flag:
        line.samples_path = value;
        return true;
    default:
        return false;
    }
}

void read_plan(load_line& line)
{
    std::ifstream input(line.plan_path);
    load_plan file = load_plan::parse(nlohmann::json::parse(input));
    line.plan.classes = std::move(file.classes);
    line.plan.bursts = std::move(file.bursts);
    if (line.plan.targets.empty() || line.plan.threads == 0)
    {
        throw std::runtime_error("--targets is required");
    }
}

void run(const load_line& line)
{
    const auto samples = run_load(line.plan);
    const std::string report = make_report(line.plan, samples).dump(2);
    std::cout << report << "\n";
    if (!line.report_path.empty())
    {
        std::ofstream(line.report_path) << report << "\n";
    }
    if (!line.samples_path.empty())
    {
        std::ofstream(line.samples_path) << sample_lines(line.plan, samples);
    }
}

} // namespace

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    load_line line;
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
        read_plan(line);
    }
    catch (const std::exception& error)
    {
        std::cerr << "mangolink-load: " << error.what() << "\n";
        return 2;
    }
    run(line);
    return 0;
}
