#include "../standins-3/deployment.hpp"

#include <fstream>
#include <sstream>

/// A bound of the settings is a fraction when a process is started.
namespace
{

using namespace review;

constexpr milliseconds start_limit{10'000};

using replacement = std::pair<std::string, std::string>;

/// Returns the deploy file's template of the settings, filled in.
std::string fill_template(const std::vector<replacement>& values)
{
    const std::string place = "../../platform/gateway.toml.in";
    std::ifstream in(place);
    if (!in)
    {
        throw std::runtime_error("no " + place);
    }
    std::ostringstream text;
    text << in.rdbuf();
    std::string result = text.str();
    for (const auto& [name, value] : values)
    {
        for (auto at = result.find(name); at != std::string::npos;
             at = result.find(name, at + value.size()))
        {
            result.replace(at, name.size(), value);
        }
    }
    if (result.find("{{") != std::string::npos)
    {
        throw std::runtime_error("unknown placeholder in " + place);
    }
    return result;
}

verdict play(case_record& record)
{
    platform_store store;
    engine order("i-order1", [](const http_message&) { return engine_work(); });
    register_engine(store, order, "order", "vestland-a", 6);
    store.put("op/config", small_configuration(1, {first_key}).dump());
    const std::string host = machine_address(1);
    const std::string grace = with_trouble() ? "7.5" : "8";
    const std::string seeds = "{{#seedNodes}}\"{{.}}\"{{,}}{{/seedNodes}}";
    const std::string zones = "{{#zones}}\"{{@}}={{.}}\"{{,}}{{/zones}}";
    const auto settings =
        fill_template({{seeds, "\"" + machine_address(2) + ":8628\""},
                       {zones, "\"vestland-a=vestland\",\"viken-a=viken\""},
                       {"{{nodeName}}", "edge-vestland-a-1"},
                       {"{{zone}}", "vestland-a"},
                       {"{{region}}", "vestland"},
                       {"{{ip}}", host},
                       {"{{listen.frontend}}", host + ":8625"},
                       {"{{listen.readiness}}", host + ":8621"},
                       {"{{internalPortRange.0}}", "7740"},
                       {"{{internalPortRange.1}}", "7755"},
                       {"{{platform.address}}", store.address()},
                       {"{{limits.maxFds}}", "4100"},
                       {"{{limits.memoryMb}}", "260"},
                       {"{{limits.cpuQuota}}", "0.19"},
                       {"{{bounds.graceS}}", grace},
                       {"{{bounds.revokeMs}}", "5000"},
                       {"{{bounds.retryBudgetRatio}}", "0.2"},
                       {"{{bounds.retryWindowS}}", "10"},
                       {"{{bounds.budgetSlack}}", "58"}});
    const std::string file = work_folder() + "/boot.toml";
    std::ofstream(file) << settings;
    record.write("process started with graceS = " + grace);
    const char* program = std::getenv("GATEWAY");
    const std::string log = work_folder() + "/gateway.log";
    mangolink::bench::child_process process(
        {program == nullptr ? "" : program, "--settings", file}, log);
    const auto is_ready = [&]
    {
        http_peer probe(host + ":8621");
        if (!probe.connected() ||
            !probe.send("GET /v1/readyz HTTP/1.1\r\nHost: balancer\r\n\r\n"))
        {
            return false;
        }
        const auto answer = probe.read(milliseconds(1000));
        return answer && answer->status() == 200;
    };
    bool ready = false;
    mangolink::bench::wait_until(
        [&]
        {
            ready = is_ready();
            return ready || !process.running();
        },
        start_limit);
    if (ready)
    {
        record.write("process is ready");
        return verdict::held;
    }
    if (process.running())
    {
        record.write("process is neither ready nor ended");
        return verdict::not_run;
    }
    record.write("process ended by itself, exit code " +
                 std::to_string(process.wait(milliseconds(0))));
    std::ifstream output(log);
    for (std::string line; std::getline(output, line);)
    {
        const auto path = line.find(work_folder());
        record.write("its output: " +
                     (path == std::string::npos
                          ? line
                          : line.substr(0, path) +
                                line.substr(path + work_folder().size())));
    }
    return verdict::broken;
}

} // namespace

int main()
{
    return review::run_case(play);
}
