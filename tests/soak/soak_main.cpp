#include "base/log.hpp"
#include "soak/soak_callers.hpp"
#include "soak/soak_checks.hpp"
#include "soak/soak_cluster.hpp"
#include "soak/soak_faults.hpp"

#include <curl/curl.h>
#include <getopt.h>

#include <cstdlib>
#include <iostream>
#include <thread>

namespace
{

struct soak_options final
{
    std::uint64_t seed = 1;
    double minutes = 1;
    unsigned processes = 4;
};

bool read_options(int argc, char** argv, soak_options& options)
{
    const option names[] = {{"seed", required_argument, nullptr, 's'},
                            {"minutes", required_argument, nullptr, 'm'},
                            {"processes", required_argument, nullptr, 'p'},
                            {nullptr, 0, nullptr, 0}};
    for (int found = 0;
         (found = getopt_long(argc, argv, "s:m:p:", names, nullptr)) != -1;)
    {
        switch (found)
        {
        case 's':
            options.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'm':
            options.minutes = std::strtod(optarg, nullptr);
            break;
        case 'p':
            options.processes =
                static_cast<unsigned>(std::strtoul(optarg, nullptr, 10));
            break;
        default:
            return false;
        }
    }
    return options.minutes > 0 && options.processes > 0;
}

int run(const soak_options& options)
{
    using namespace mangolink;
    using namespace mangolink::test;
    soak_cluster cluster(options.seed, options.processes);
    soak_faults faults(cluster, options.seed);
    soak_callers callers(cluster, options.seed, options.processes * 4);
    std::mt19937_64 random(options.seed ^ 0x5eedULL);
    const auto end = boot_clock::now() +
                     std::chrono::duration_cast<milliseconds>(
                         std::chrono::duration<double>(options.minutes * 60));
    while (boot_clock::now() < end)
    {
        std::this_thread::sleep_for(milliseconds(50 + random() % 500));
        faults.step();
    }
    faults.end_all_faults();
    std::vector<soak_record> records;
    auto violations = find_unrecovered_gateways(cluster, records);
    const auto caller_records = callers.finish();
    records.insert(records.end(), caller_records.begin(), caller_records.end());
    const auto request_violations = find_violations(cluster, records);
    violations.insert(violations.end(), request_violations.begin(),
                      request_violations.end());
    const auto quarantine_violations =
        find_quarantine_violations(cluster, faults, records);
    violations.insert(violations.end(), quarantine_violations.begin(),
                      quarantine_violations.end());
    const auto served = std::count_if(records.begin(), records.end(),
                                      [](const soak_record& record)
                                      { return record.status == 200; });
    std::cout << "seed " << options.seed << ": " << records.size()
              << " requests, " << served << " served; faults:";
    for (const auto& [name, count] : faults.counts())
    {
        std::cout << " " << name << " " << count << ",";
    }
    std::cout << " violations: " << violations.size() << "\n";
    for (const auto& line : violations)
    {
        std::cout << "VIOLATION " << line << "\n";
    }
    if (!violations.empty())
    {
        std::cout << "logs of the gateways: " << cluster.platform().folder()
                  << "\n";
    }
    return violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    soak_options options;
    if (!read_options(argc, argv, options))
    {
        std::cerr << "usage: mangolink-soak [--seed N] [--minutes M] "
                     "[--processes P]\n";
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    mangolink::configure_log(mangolink::log_level::error, "soak");
    return run(options);
}
