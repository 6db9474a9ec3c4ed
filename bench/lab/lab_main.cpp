#include "base/stop_signal.hpp"
#include "lab/deployment.hpp"

#include <curl/curl.h>
#include <getopt.h>

#include <fstream>
#include <iostream>

namespace
{

using namespace mangolink;
using namespace mangolink::bench;
using nlohmann::json;

constexpr const char* help =
    "Usage: mangolink-lab --example FILE [options]\n"
    "Runs an example deployment on loopback with stand-ins for everything\n"
    "outside the system, until SIGTERM or SIGINT.\n\n"
    "  --example FILE     description of the deployment, JSON\n"
    "  --region NAME      only this region\n"
    "  --logs FOLDER      folder for settings and logs\n"
    "  --first-port N     first port to assign (20000)\n"
    "  --set KEY=VALUE    override a setting of every entry; repeatable\n"
    "  --addresses FILE   write the addresses to FILE once ready\n"
    "  --print            print the configuration and exit\n";

struct lab_arguments final
{
    std::string example;
    std::string region;
    std::string logs;
    std::string addresses;
    std::uint16_t first_port = 20'000;
    std::vector<std::string> overrides;
    bool print = false;
};

json describe(const deployment& lab)
{
    json entries = json::array();
    for (const auto& planned : lab.plan().entries)
    {
        entries.push_back({{"name", planned.name},
                           {"callers", lab.caller_address(planned.name)},
                           {"admin", lab.admin_address(planned.name)},
                           {"process", lab.process_id(planned.name)}});
    }
    json agents = json::array();
    for (const auto& planned : lab.plan().servers)
    {
        agents.push_back({{"name", planned.name},
                          {"backend", lab.backend_address(planned.name)},
                          {"admin", lab.admin_address(planned.name)},
                          {"process", lab.process_id(planned.name)}});
    }
    return {{"entries", entries}, {"agents", agents}};
}

int run(const lab_arguments& arguments)
{
    std::ifstream input(arguments.example);
    deployment_plan plan =
        deployment_plan::expand(json::parse(input), arguments.region);
    plan.first_port = arguments.first_port;
    plan.log_folder = arguments.logs;
    const stop_signal stop;
    deployment lab(std::move(plan));
    if (arguments.print)
    {
        std::cout << lab.first_value().dump(2) << "\n";
        return 0;
    }
    lab.start_all(arguments.overrides);
    const std::string text = describe(lab).dump(2);
    std::cout << text << "\nready" << std::endl;
    if (!arguments.addresses.empty())
    {
        std::ofstream(arguments.addresses) << text << "\n";
    }
    while (!stop.wait(std::chrono::seconds(60)))
    {
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const option options[] = {
        {"example", 1, nullptr, 'e'}, {"region", 1, nullptr, 'r'},
        {"logs", 1, nullptr, 'l'},    {"first-port", 1, nullptr, 'p'},
        {"set", 1, nullptr, 's'},     {"addresses", 1, nullptr, 'a'},
        {"print", 0, nullptr, 'P'},   {"help", 0, nullptr, 'h'},
        {nullptr, 0, nullptr, 0}};
    curl_global_init(CURL_GLOBAL_DEFAULT);
    lab_arguments arguments;
    for (int found = 0;
         (found = getopt_long(argc, argv, "h", options, nullptr)) != -1;)
    {
        switch (found)
        {
        case 'e':
            arguments.example = optarg;
            break;
        case 'r':
            arguments.region = optarg;
            break;
        case 'l':
            arguments.logs = optarg;
            break;
        case 'p':
            arguments.first_port =
                static_cast<std::uint16_t>(std::stoul(optarg));
            break;
        case 's':
            arguments.overrides.emplace_back(optarg);
            break;
        case 'a':
            arguments.addresses = optarg;
            break;
        case 'P':
            arguments.print = true;
            break;
        default:
            std::cout << help;
            return found == 'h' ? 0 : 2;
        }
    }
    try
    {
        return run(arguments);
    }
    catch (const std::exception& error)
    {
        std::cerr << "mangolink-lab: " << error.what() << "\n";
        return 1;
    }
}
