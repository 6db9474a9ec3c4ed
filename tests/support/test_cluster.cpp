#include "support/test_cluster.hpp"

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace mangolink::test
{
namespace
{

using nlohmann::json;

/// Returns a different loopback address for each gateway, so that all can use
/// the same ports, as on the machines of the platform.
std::string next_host()
{
    static std::atomic<unsigned> count{0};
    const unsigned number = ++count;
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(100 + process % 100) + "." +
           std::to_string(process / 100 % 250) + "." +
           std::to_string(1 + number);
}

} // namespace

gateway_process::gateway_process(const std::string& name,
                                 const std::string& store,
                                 const std::vector<std::string>& seeds,
                                 const std::string& folder,
                                 const std::string& extra_settings)
    : host_(next_host()), settings_path_(folder + "/" + name + ".toml"),
      log_path_(folder + "/" + name + ".log")
{
    std::string list;
    for (const auto& seed : seeds)
    {
        list += (list.empty() ? "\"" : ", \"") + seed + "\"";
    }
    std::ofstream out(settings_path_);
    out << "[gateway]\ncallers = \"" << callers().text() << "\"\nreadiness = \""
        << readiness().text() << "\"\noperators = \"" << operators().text()
        << "\"\npeers = \"" << peers() << "\"\nseeds = [" << list
        << "]\nstop_limit_ms = 4000\n"
        << "[platform]\nstore = \"" << store
        << "\"\nzones = [\"z1=r1\", \"z2=r2\"]\n"
        << "[keys]\nrevocation_limit_ms = 3000\n"
        << "[retries]\nratio = 0.2\nslack = 400\n"
        << "[instance]\nname = \"" << name << "\"\nzone = \"z1\"\n"
        << "region = \"r1\"\n"
        << extra_settings;
    out.close();
    start();
}

void gateway_process::start()
{
    process_ = std::make_unique<bench::child_process>(
        std::vector<std::string>{GATEWAY_PROGRAM, "--settings", settings_path_},
        log_path_);
}

bool gateway_process::ready() const
{
    try
    {
        test_caller caller(readiness());
        text_request request(http::verb::get, "/v1/readyz", 11);
        request.set(http::field::host, "balancer");
        const auto answer = caller.send_request(request);
        return answer && answer->result() == http::status::ok;
    }
    catch (const boost::system::system_error&)
    {
        return false; // not listening yet
    }
}

bool gateway_process::reads_store() const
{
    const auto status =
        json::parse(fetch_operator_page("/status"), nullptr, false);
    return status.is_object() && status.value("reads_platform", false);
}

std::string gateway_process::fetch_operator_page(const std::string& path) const
{
    test_caller caller(operators());
    text_request request(http::verb::get, path, 11);
    request.set(http::field::host, "operators");
    const auto answer = caller.send_request(request);
    return answer ? answer->body() : "";
}

bool gateway_process::wait_for_servers(std::size_t count) const
{
    const std::string wanted = "\"backend_servers\": " + std::to_string(count);
    return bench::wait_until(
        [&] {
            return fetch_operator_page("/status").find(wanted) !=
                   std::string::npos;
        });
}

std::string gateway_process::log_text() const
{
    std::ifstream in(log_path_);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

test_cluster::test_cluster()
    : configuration_{
          {"version", 0},
          {"routes", json::array()},
          {"services", json::array()},
          {"limits",
           {{"maxHeaderBytes", 4096},
            {"maxBodyBytes", 100'000},
            {"headerTimeoutMs", 500},
            {"idleTimeoutMs", 10'000}}},
          {"tenants", {{{"name", "casters"}, {"apiKeys", {test_key}}}}}}
{
    std::string name = "/tmp/mangolink-test-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error(
            "cannot create a temporary folder for the test");
    }
    folder_ = name;
}

backend_standin& test_cluster::add_backend(const std::string& service,
                                           const std::string& id)
{
    backends_.push_back(std::make_unique<backend_standin>(id));
    registrations_[id] = {service, backends_.back()->address()};
    register_server(id, "ready");
    return *backends_.back();
}

stage_server_standin& test_cluster::add_stage_server(const std::string& service,
                                                     const std::string& id,
                                                     milliseconds call_time)
{
    stage_servers_.push_back(
        std::make_unique<stage_server_standin>(id, call_time));
    registrations_[id] = {service, stage_servers_.back()->address()};
    register_server(id, "ready");
    return *stage_servers_.back();
}

void test_cluster::register_server(const std::string& id,
                                   const std::string& state)
{
    registration& server_entry = registrations_[id];
    const json value{{"service", server_entry.service},
                     {"address", server_entry.address},
                     {"zone", server_entry.zone},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", state},
                     {"coldRemainingMs", server_entry.cold.count()},
                     {"born", server_entry.started_ms},
                     {"sequence", ++server_entry.sequence}};
    put("servers/" + id, value.dump());
}

void test_cluster::set_address(const std::string& id,
                               const std::string& address)
{
    registrations_[id].address = address;
    register_server(id, "ready");
}

void test_cluster::set_zone(const std::string& id, const std::string& zone)
{
    registrations_[id].zone = zone;
    register_server(id, "ready");
}

void test_cluster::set_cold(const std::string& id, milliseconds remaining)
{
    registrations_[id].cold = remaining;
    register_server(id, "ready");
}

void test_cluster::evacuate(const std::string& zone)
{
    put("op/evacuate/" + zone, "{}");
}

void test_cluster::take_back(const std::string& zone)
{
    store_.remove("op/evacuate/" + zone);
    for (const auto& other : extra_stores_)
    {
        other->remove("op/evacuate/" + zone);
    }
}

void test_cluster::set_service(const std::string& id,
                               const std::string& service)
{
    registrations_[id].service = service;
    register_server(id, "ready");
}

void test_cluster::restart_server(const std::string& id)
{
    ++registrations_[id].started_ms;
    register_server(id, "ready");
}

void test_cluster::unregister_server(const std::string& id)
{
    store_.remove("servers/" + id);
    for (const auto& other : extra_stores_)
    {
        other->remove("servers/" + id);
    }
}

void test_cluster::publish()
{
    configuration_["version"] = configuration_["version"].get<int>() + 1;
    put("op/config", configuration_.dump());
}

json& test_cluster::add_route(const std::string& prefix,
                              const std::string& kind,
                              const std::string& service)
{
    configuration_["routes"].push_back({{"name", "route" + prefix},
                                        {"hostname", "site.example"},
                                        {"prefix", prefix},
                                        {"routeType", kind},
                                        {"timeoutMs", 4000},
                                        {"targetLatencyMs", 500},
                                        {"priority", 1},
                                        {"service", service},
                                        {"maxAttempts", 2},
                                        {"anonymous", false}});
    return configuration_["routes"].back();
}

void test_cluster::add_stage_pool(const std::string& service)
{
    configuration_["services"].push_back({{"name", service},
                                          {"maxConnections", 10},
                                          {"segments",
                                           {{"slots", 1},
                                            {"queueDepth", 2},
                                            {"batchSize", 8},
                                            {"callTimeMs", 100.0},
                                            {"itemTimeMs", 1.0},
                                            {"headroomMb", 10.0},
                                            {"handleTtlS", 4.0}}}});
}

void test_cluster::put(const std::string& key, const std::string& value)
{
    store_.put(key, value);
    for (const auto& other : extra_stores_)
    {
        other->put(key, value);
    }
}

store_standin& test_cluster::add_store()
{
    extra_stores_.push_back(std::make_unique<store_standin>());
    return *extra_stores_.back();
}

gateway_process& test_cluster::start_gateway(const std::string& extra_settings,
                                             const std::string& store)
{
    std::vector<std::string> seeds;
    for (const auto& other : gateways_)
    {
        seeds.push_back(other->peers());
    }
    const std::string name = "gateway-" + std::to_string(gateways_.size() + 1);
    gateways_.push_back(std::make_unique<gateway_process>(
        name, store.empty() ? store_.address() : store, seeds, folder_,
        extra_settings));
    if (!bench::wait_until([this] { return gateways_.back()->ready(); }))
    {
        throw std::runtime_error("gateway is not ready: " +
                                 gateways_.back()->log_text());
    }
    return *gateways_.back();
}

text_request test_cluster::request(const std::string& path,
                                   const std::string& id, milliseconds deadline)
{
    text_request result(http::verb::post, path, 11);
    result.set(http::field::host, "site.example");
    result.set("X-Attempt-Id", id);
    result.set("X-Key", test_key);
    result.set("X-Deadline-Ms", std::to_string(deadline.count()));
    result.body() = "body of " + id;
    result.prepare_payload();
    return result;
}

text_request test_cluster::staged_request(const std::string& path,
                                          const std::string& id,
                                          const std::string& items,
                                          milliseconds deadline)
{
    auto result = request(path, id, deadline);
    result.set("X-Chunk-Count", items);
    result.set("X-Chunk-Key", "key-" + id);
    return result;
}

void test_cluster::add_stage(json& route, milliseconds latency_objective)
{
    route["targetLatencyMs"] = latency_objective.count();
    route["phases"] = {
        {{"service", "encode"}, {"after", json::array()}, {"length", 1000}}};
    add_stage_pool("encode");
}

} // namespace mangolink::test
