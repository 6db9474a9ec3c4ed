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
    "  --targets LIST    entries, used round-robin\n"
    "  --rate R          arrivals per second (100)\n"
    "  --seconds S       length of the run (10)\n"
    "  --seed N          seed of the arrivals (1)\n"
    "  --threads N       sending threads (1)\n"
    "  --output FILE     also write the report to FILE\n"
    "  --samples FILE    write one line per request to FILE\n";

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

/// Parsed command line.
struct load_arguments final
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

/// Applies one option; false if it is unknown or asks for help.
bool apply_option(int found, const char* value, load_arguments& arguments)
{
    load_plan& plan = arguments.plan;
    switch (found)
    {
    case plan_file:
        arguments.plan_path = value;
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
        arguments.report_path = value;
        return true;
    case samples_flag:
        arguments.samples_path = value;
        return true;
    default:
        return false;
    }
}

void read_plan(load_arguments& arguments)
{
    std::ifstream input(arguments.plan_path);
    load_plan file = load_plan::parse(nlohmann::json::parse(input));
    arguments.plan.classes = std::move(file.classes);
    arguments.plan.bursts = std::move(file.bursts);
    if (arguments.plan.targets.empty() || arguments.plan.threads == 0)
    {
        throw std::runtime_error("--targets is required");
    }
}

void run(const load_arguments& arguments)
{
    const auto samples = run_load(arguments.plan);
    const std::string report = make_report(arguments.plan, samples).dump(2);
    std::cout << report << "\n";
    if (!arguments.report_path.empty())
    {
        std::ofstream(arguments.report_path) << report << "\n";
    }
    if (!arguments.samples_path.empty())
    {
        std::ofstream(arguments.samples_path)
            << sample_lines(arguments.plan, samples);
    }
}

} // namespace

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    load_arguments arguments;
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
        read_plan(arguments);
    }
    catch (const std::exception& error)
    {
        std::cerr << "mangolink-load: " << error.what() << "\n";
        return 2;
    }
    run(arguments);
    return 0;
}
