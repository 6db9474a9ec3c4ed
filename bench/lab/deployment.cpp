#include "lab/deployment.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace mangolink::bench
{
namespace
{

using nlohmann::json;

constexpr const char* admin_key = "test-key";

// Below the ephemeral port range, so that no outgoing connection can take a
// port between the check for a free port and its use.
constexpr std::uint16_t first_port = 20'000;
constexpr std::uint16_t last_port = 30'000;

http_result call(const std::string& method, const std::string& url,
                 std::vector<http_header> headers, const std::string& body)
{
    http_client client;
    return client.call(
        {method, url, std::move(headers), body, milliseconds(30'000)});
}

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream(path) << text;
}

} // namespace

deployment::deployment(std::vector<server_plan> servers, json pipelines,
                       json customers)
    : deployment(deployment_plan{.servers = std::move(servers),
                                 .pipelines = std::move(pipelines),
                                 .customers = std::move(customers)})
{
}

deployment::deployment(deployment_plan plan)
    : folder_(plan.log_folder), plan_(std::move(plan)),
      next_port_(plan_.first_port)
{
    if (folder_.empty())
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "mangolink-XXXXXX")
                .string();
        folder_ = mkdtemp(pattern.data());
    }
    std::filesystem::create_directories(folder_);
    json standins{{"servers", json::array()}};
    for (const auto& planned : plan_.servers)
    {
        json server = planned.model;
        server["kind"] = planned.kind;
        server["name"] = planned.name;
        server["service_us"] = planned.service_us;
        server["listen"] = backend_address(planned.name);
        standins["servers"].push_back(std::move(server));
    }
    standins["platform"] = {{"listen", address("platform")},
                            {"value", first_value()}};
    const std::string path = folder_ + "/plan.json";
    write_file(path, standins.dump());
    processes_["standins"] = std::make_unique<child_process>(
        std::vector<std::string>{BENCH_DIRECTORY "/mangolink-standins",
                                 "--plan", path},
        folder_ + "/standins.log");
    if (!wait_until([this]
                    { return platform("/control/reads").status == 200; }))
    {
        throw std::runtime_error("stand-ins did not start");
    }
    if (plan_.proxied)
    {
        start_proxy();
    }
}

deployment::~deployment()
{
    processes_.clear();
    if (plan_.log_folder.empty())
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

void deployment::start_agent(const std::string& server,
                             const std::vector<std::string>& overrides)
{
    for (const auto& planned : plan_.servers)
    {
        if (planned.name == server)
        {
            start("mangolink-agent", server,
                  instance_text(server, planned.zone, planned.region) +
                      "[agent]\nlisten = \"" + address("agent " + server) +
                      "\"\nbackend_address = \"" +
                      connect_address("backend " + server) +
                      "\"\nbackend_server = \"" + server +
                      "\"\nlimit = " + std::to_string(planned.limit) + "\n",
                  overrides);
        }
    }
}

void deployment::start_entry(const std::string& name,
                             const std::vector<std::string>& overrides)
{
    entry_plan plan{name};
    for (const auto& planned : plan_.entries)
    {
        plan = planned.name == name ? planned : plan;
    }
    start("mangolink-entry", name,
          instance_text(name, plan.zone, plan.region) + "[entry]\nlisten = \"" +
              caller_address(name) + "\"\n",
          overrides);
}

void deployment::start_all(const std::vector<std::string>& overrides)
{
    for (const auto& planned : plan_.servers)
    {
        start_agent(planned.name);
    }
    for (const auto& planned : plan_.entries)
    {
        start_entry(planned.name, overrides);
    }
    for (const auto& planned : plan_.entries)
    {
        if (!ready(planned.name, plan_.servers.size()))
        {
            throw std::runtime_error(planned.name + " did not become ready");
        }
    }
}

bool deployment::ready(const std::string& entry, std::size_t usable) const
{
    return wait_until(
        [&]
        {
            const auto status = admin(entry, "GET", "/v1/status");
            const json body = json::parse(status.body, nullptr, false);
            return body.is_object() &&
                   body.value("usable_members", std::size_t(0)) == usable;
        });
}

command_result deployment::run(std::vector<std::string> command) const
{
    const std::string output = folder_ + "/command.log";
    std::filesystem::remove(output);
    command.front() = PROGRAM_DIRECTORY "/" + command.front();
    child_process program(command, output);
    command_result result;
    result.exit_code = program.wait(milliseconds(30'000));
    std::ifstream input(output);
    result.output.assign(std::istreambuf_iterator<char>(input), {});
    return result;
}

std::string deployment::settings_path(const std::string& name) const
{
    return folder_ + "/" + name + ".toml";
}

child_process& deployment::process(const std::string& name)
{
    return *processes_.at(name);
}

http_result deployment::request(const std::string& entry,
                                const std::string& pipeline,
                                const std::string& body,
                                std::vector<http_header> headers) const
{
    if (headers.empty() || headers.front().name != "Mangolink-Customer")
    {
        headers.insert(headers.begin(), {"Mangolink-Customer", "caster"});
    }
    return call("POST",
                "http://" + connect_address("callers " + entry) +
                    "/v1/pipelines/" + pipeline + "/requests",
                std::move(headers), body);
}

http_result deployment::admin(const std::string& name,
                              const std::string& method,
                              const std::string& path,
                              const std::string& body) const
{
    return call(method, "http://" + address("admin " + name) + path,
                {{"Authorization", std::string("Bearer ") + admin_key}}, body);
}

http_result deployment::standin(const std::string& server,
                                const std::string& path,
                                const std::string& body) const
{
    return call(body.empty() ? "GET" : "POST",
                "http://" + address("backend " + server) + path, {}, body);
}

http_result deployment::platform(const std::string& path,
                                 const std::string& body) const
{
    return call(body.empty() ? "GET" : "POST",
                "http://" + address("platform") + path, {}, body);
}

void deployment::faults(const json& rules) const
{
    const auto result = call("POST", "http://" + address("control") + "/rules",
                             {}, rules.dump());
    if (result.status != 200)
    {
        throw std::runtime_error(
            "fault proxy rejected the rules: " + result.body + result.error);
    }
}

json deployment::executions() const
{
    const auto result =
        standin(plan_.servers.front().name, "/control/executions");
    return json::parse(result.body).at("executions");
}

std::string deployment::caller_address(const std::string& entry) const
{
    return address("callers " + entry);
}

std::string deployment::backend_address(const std::string& server) const
{
    return address("backend " + server);
}

std::string deployment::admin_address(const std::string& name) const
{
    return address("admin " + name);
}

pid_t deployment::process_id(const std::string& name) const
{
    return processes_.at(name)->id();
}

json deployment::first_value() const
{
    json value{{"pools", json::object()},
               {"backend_servers", json::object()},
               {"pipelines", plan_.pipelines},
               {"customers", plan_.customers},
               {"models", plan_.models}};
    for (const auto& planned : plan_.servers)
    {
        value["pools"][planned.pool] = json::object();
        value["backend_servers"][planned.name] = {
            {"pool", planned.pool},
            {"zone", planned.zone},
            {"region", planned.region},
            {"agent", connect_address("agent " + planned.name)}};
    }
    return value;
}

std::string deployment::instance_text(const std::string& name,
                                      const std::string& zone,
                                      const std::string& region) const
{
    return "[instance]\nname = \"" + name + "\"\nzone = \"" + zone +
           "\"\nregion = \"" + region + "\"\nadmin_address = \"" +
           admin_address(name) + "\"\nadmin_key = \"" + admin_key +
           "\"\n[platform]\nconfiguration_service = \"" + address("platform") +
           "\"\ninstance_list = \"" + address("platform") + "\"\n";
}

void deployment::start(const std::string& program, const std::string& name,
                       const std::string& settings,
                       const std::vector<std::string>& overrides)
{
    const std::string path = settings_path(name);
    write_file(path, settings);
    std::vector<std::string> command{PROGRAM_DIRECTORY "/" + program,
                                     "--settings", path};
    for (const auto& setting : overrides)
    {
        command.push_back("--set");
        command.push_back(setting);
    }
    processes_[name] =
        std::make_unique<child_process>(command, folder_ + "/" + name + ".log");
}

std::uint16_t deployment::free_port() const
{
    static std::uint16_t shared =
        first_port + static_cast<std::uint16_t>(getpid() % 4000);
    std::uint16_t& next = plan_.first_port == 0 ? shared : next_port_;
    for (; next < last_port; ++next)
    {
        const int probe = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_port = htons(next);
        where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool free =
            bind(probe, reinterpret_cast<sockaddr*>(&where), sizeof where) == 0;
        close(probe);
        if (free)
        {
            return next++;
        }
    }
    throw std::runtime_error("no free port");
}

std::string deployment::address(const std::string& endpoint) const
{
    std::uint16_t& port = ports_[endpoint];
    if (port == 0)
    {
        port = free_port();
    }
    return "127.0.0.1:" + std::to_string(port);
}

std::string deployment::connect_address(const std::string& endpoint) const
{
    return address(plan_.proxied ? "proxy " + endpoint : endpoint);
}

void deployment::start_proxy()
{
    json plan{{"control", address("control")}, {"routes", json::array()}};
    std::vector<std::string> endpoints{"platform"};
    for (const auto& planned : plan_.servers)
    {
        endpoints.push_back("agent " + planned.name);
        endpoints.push_back("backend " + planned.name);
    }
    for (const auto& planned : plan_.entries)
    {
        endpoints.push_back("callers " + planned.name);
    }
    for (const auto& endpoint : endpoints)
    {
        plan["routes"].push_back({{"name", endpoint},
                                  {"listen", connect_address(endpoint)},
                                  {"to", address(endpoint)}});
    }
    const std::string path = folder_ + "/proxy.json";
    write_file(path, plan.dump());
    processes_["proxy"] = std::make_unique<child_process>(
        std::vector<std::string>{BENCH_DIRECTORY "/mangolink-faultproxy",
                                 "--plan", path},
        folder_ + "/proxy.log");
    const std::string url = "http://" + address("control") + "/traffic";
    if (!wait_until([&] { return call("GET", url, {}, {}).status == 200; }))
    {
        throw std::runtime_error("fault proxy did not start");
    }
}

} // namespace mangolink::bench
