#include "base/stop_signal.hpp"
#include "faultproxy/fault_proxy.hpp"

#include <getopt.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

int main(int argc, char** argv)
{
    using mangolink::bench::proxy_route;
    const option options[] = {{"plan", 1, nullptr, 'p'},
                              {nullptr, 0, nullptr, 0}};
    std::string path;
    for (int found = 0;
         (found = getopt_long(argc, argv, "p:", options, nullptr)) != -1;)
    {
        path = found == 'p' ? optarg : "";
    }
    try
    {
        std::ifstream input(path);
        const auto plan = nlohmann::json::parse(input);
        std::vector<proxy_route> routes;
        for (const auto& route : plan.at("routes"))
        {
            routes.push_back(
                {route.at("name"), route.at("listen"), route.at("to")});
        }
        const mangolink::stop_signal stop;
        const mangolink::bench::fault_proxy proxy(routes, plan.at("control"),
                                                  plan.value("seed", 1ULL));
        std::cout << "ready" << std::endl;
        while (!stop.wait(std::chrono::seconds(60)))
        {
        }
    }
    catch (const std::exception& error)
    {
        std::cerr << "mangolink-faultproxy: --plan FILE: " << error.what()
                  << "\n";
        return 2;
    }
    return 0;
}
