#include "support/deployment.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace mangolink::test
{
namespace
{

using nlohmann::json;

constexpr const char* admin_key = "test-key";

// Below the range from which the system takes ports for outgoing
// connections, so that no connection can take a port between the look and
// the use of it.
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
    : servers_(std::move(servers)), pipelines_(std::move(pipelines)),
      customers_(std::move(customers))
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "mangolink-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    json plan{{"servers", json::array()}};
    for (const auto& row : servers_)
    {
        plan["servers"].push_back({{"kind", row.kind},
                                   {"name", row.name},
                                   {"service_us", row.service_us},
                                   {"listen", address("backend " + row.name)}});
    }
    plan["platform"] = {{"listen", address("platform")},
                        {"value", first_value()}};
    const std::string path = folder_ + "/plan.json";
    write_file(path, plan.dump());
    processes_["standins"] = std::make_unique<child_process>(
        std::vector<std::string>{BENCH_DIRECTORY "/mangolink-standins",
                                 "--plan", path},
        folder_ + "/standins.log");
    if (!wait_until([this]
                    { return platform("/control/reads").status == 200; }))
    {
        throw std::runtime_error("stand-ins did not start");
    }
}

deployment::~deployment()
{
    processes_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void deployment::start_agent(const std::string& server,
                             const std::vector<std::string>& overrides)
{
    for (const auto& row : servers_)
    {
        if (row.name == server)
        {
            start("mangolink-agent", server, settings_text(server, &row),
                  overrides);
        }
    }
}

void deployment::start_entry(const std::string& name,
                             const std::vector<std::string>& overrides)
{
    start("mangolink-entry", name, settings_text(name, nullptr), overrides);
}

void deployment::start_all()
{
    for (const auto& row : servers_)
    {
        start_agent(row.name);
    }
    start_entry("entry-1");
    if (!ready("entry-1", servers_.size()))
    {
        throw std::runtime_error("entry did not become ready");
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
                "http://" + caller_address(entry) + "/v1/pipelines/" +
                    pipeline + "/requests",
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

json deployment::executions() const
{
    const auto result = standin(servers_.front().name, "/control/executions");
    return json::parse(result.body).at("executions");
}

std::string deployment::caller_address(const std::string& entry) const
{
    return address("callers " + entry);
}

json deployment::first_value() const
{
    json value{{"pools", json::object()},
               {"backend_servers", json::object()},
               {"pipelines", pipelines_},
               {"customers", customers_}};
    for (const auto& row : servers_)
    {
        value["pools"][row.pool] = json::object();
        value["backend_servers"][row.name] = {
            {"pool", row.pool},
            {"zone", row.zone},
            {"region", row.region},
            {"agent", address("agent " + row.name)}};
    }
    return value;
}

std::string deployment::settings_text(const std::string& name,
                                      const server_plan* server) const
{
    std::string text =
        "[instance]\nname = \"" + name + "\"\nzone = \"" +
        (server != nullptr ? server->zone : "zone-a") + "\"\nregion = \"" +
        (server != nullptr ? server->region : "vestland") +
        "\"\nadmin_address = \"" + address("admin " + name) +
        "\"\nadmin_key = \"" + admin_key +
        "\"\n[platform]\nconfiguration_service = \"" + address("platform") +
        "\"\ninstance_list = \"" + address("platform") + "\"\n";
    if (server != nullptr)
    {
        return text + "[agent]\nlisten = \"" + address("agent " + name) +
               "\"\nbackend_address = \"" + address("backend " + name) +
               "\"\nbackend_server = \"" + name + "\"\n";
    }
    return text + "[entry]\nlisten = \"" + caller_address(name) + "\"\n";
}

void deployment::start(const std::string& program, const std::string& name,
                       const std::string& settings,
                       const std::vector<std::string>& overrides)
{
    const std::string path = folder_ + "/" + name + ".toml";
    write_file(path, settings);
    std::vector<std::string> command{PROGRAM_DIRECTORY "/" + program,
                                     "--settings", path};
    for (const auto& row : overrides)
    {
        command.push_back("--set");
        command.push_back(row);
    }
    processes_[name] =
        std::make_unique<child_process>(command, folder_ + "/" + name + ".log");
}

std::uint16_t deployment::free_port()
{
    static std::uint16_t next =
        first_port + static_cast<std::uint16_t>(getpid() % 4000);
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

std::string deployment::address(const std::string& use) const
{
    std::uint16_t& port = ports_[use];
    if (port == 0)
    {
        port = free_port();
    }
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace mangolink::test
