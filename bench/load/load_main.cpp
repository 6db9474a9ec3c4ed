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

} // namespace

int main(int argc, char** argv)
{
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
    curl_global_init(CURL_GLOBAL_DEFAULT);
    load_plan plan;
    load_plan given;
    std::string path;
    std::string report_path;
    std::string samples_path;
    for (int found = 0;
         (found = getopt_long(argc, argv, "h", options, nullptr)) != -1;)
    {
        switch (found)
        {
        case plan_file:
            path = optarg;
            break;
        case targets:
            given.targets = split(optarg);
            break;
        case rate:
            given.rate = std::stod(optarg);
            break;
        case seconds_flag:
            given.length = std::chrono::duration<double>(std::stod(optarg));
            break;
        case seed:
            given.seed = std::stoull(optarg);
            break;
        case threads:
            given.threads = static_cast<std::uint32_t>(std::stoul(optarg));
            break;
        case output:
            report_path = optarg;
            break;
        case samples_flag:
            samples_path = optarg;
            break;
        default:
            std::cout << help;
            return found == 'h' ? 0 : 2;
        }
    }
    std::ifstream input(path);
    try
    {
        plan = load_plan::parse(nlohmann::json::parse(input));
    }
    catch (const std::exception& error)
    {
        std::cerr << "mangolink-load: " << path << ": " << error.what() << "\n";
        return 2;
    }
    given.classes = std::move(plan.classes);
    given.bursts = std::move(plan.bursts);
    if (given.targets.empty() || given.threads == 0)
    {
        std::cerr << help;
        return 2;
    }
    const auto samples = run_load(given);
    const auto report = make_report(given, samples);
    std::cout << report.dump(2) << "\n";
    if (!report_path.empty())
    {
        std::ofstream(report_path) << report.dump(2) << "\n";
    }
    if (!samples_path.empty())
    {
        std::ofstream(samples_path) << sample_lines(given, samples);
    }
    return 0;
}
