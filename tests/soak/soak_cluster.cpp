#include "soak/soak_cluster.hpp"

#include <absl/strings/str_cat.h>
#include <unistd.h>

#include <functional>

namespace mangolink::test
{
namespace
{

using nlohmann::json;

constexpr std::uint16_t control_port = 7999;
constexpr std::uint16_t first_port = 8000;

/// Returns a loopback address chosen by process id, so that parallel runs do
/// not clash.
std::string proxy_host()
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127.250." + std::to_string(process / 250 % 250) + "." +
           std::to_string(1 + process % 250);
}

std::string key_name(unsigned number)
{
    return "key-" + std::to_string(number);
}

} // namespace

const char* path_of(soak_kind kind)
{
    static constexpr const char* paths[] = {"/status/", "/order/", "/talk/",
                                            "/once/", "/staged/"};
    return paths[static_cast<std::size_t>(kind)];
}

text_request request_of(const soak_record& record)
{
    auto request = test_cluster::request(
        std::string(path_of(record.kind)) + "x", record.id, milliseconds(3000));
    request.set("X-Key", record.key);
    if (!record.part.empty())
    {
        request.set("X-Prompt-Prefix",
                    absl::StrCat("aa01:100,", record.part, ":50,",
                                 absl::Hex(std::hash<std::string>()(record.id)),
                                 ":9"));
    }
    if (record.kind == soak_kind::with_stages)
    {
        request.set("X-Chunk-Key", "key-" + record.id);
        request.set("X-Chunk-Count", std::to_string(first_stage_items) + "," +
                                         std::to_string(second_stage_items));
    }
    return request;
}

soak_cluster::soak_cluster(std::uint64_t seed, unsigned gateways)
    : control_{proxy_host(), control_port}, gateways_(gateways)
{
    std::map<std::string, std::string> addresses;
    for (std::size_t i = 0; i < plain_servers + engines; ++i)
    {
        const bool plain = i < plain_servers;
        const std::string service = plain ? "desk" : "engine";
        const std::string id =
            absl::StrCat(service, "-", 1 + (plain ? i : i - plain_servers));
        servers_.push_back(&cluster_.add_backend(service, id));
        addresses[id] = add_proxied_link(id, servers_.back()->address());
        if (!plain)
        {
            servers_.back()->set_stream(stream_events, milliseconds(15));
            servers_.back()->set_crashing_part(deadly_part);
        }
    }
    for (const char* id : {"encode-1", "encode-2", "rerank-1", "rerank-2"})
    {
        const bool first = std::string(id).starts_with("encode");
        stage_servers_.push_back(&cluster_.add_stage_server(
            first ? "encode" : "rerank", id, milliseconds(20)));
    }
    std::vector<std::string> stores;
    for (unsigned i = 1; i <= gateways; ++i)
    {
        stores.push_back(add_proxied_link("store-" + std::to_string(i),
                                          cluster_.store().address()));
    }
    proxy_ =
        std::make_unique<bench::fault_proxy>(routes_, control_.text(), seed);
    for (const auto& [id, address] : addresses)
    {
        cluster_.set_address(id, address);
    }
    for (const char* id : {"desk-3", "engine-6", "encode-2", "rerank-2"})
    {
        cluster_.set_zone(id, second_zone);
        second_zone_servers_.insert(id);
    }
    add_routes();
    for (const auto& store : stores)
    {
        cluster_.start_gateway({}, store);
    }
}

std::string soak_cluster::add_proxied_link(const std::string& name,
                                           const std::string& to)
{
    const auto port = static_cast<std::uint16_t>(first_port + routes_.size());
    std::string listen = control_.host + ":" + std::to_string(port);
    routes_.push_back({name, listen, to});
    links_.push_back(name);
    return listen;
}

void soak_cluster::add_routes()
{
    cluster_.add_route(path_of(soak_kind::idempotent), "idempotent", "desk");
    cluster_.add_route(path_of(soak_kind::non_idempotent), "non_idempotent",
                       "desk");
    cluster_.add_route(path_of(soak_kind::resumable_stream), "streaming",
                       "engine")["streamResume"] = true;
    cluster_.add_route(path_of(soak_kind::plain_stream), "streaming",
                       "engine")["allowedRegions"] = {"r1"};
    cluster_.configuration()["services"].push_back(
        {{"name", "desk"}, {"maxConnections", 1000}, {"coldPerS", cold_rate}});
    auto& staged = cluster_.add_route(path_of(soak_kind::with_stages),
                                      "idempotent", "desk");
    staged["phases"] = {
        {{"service", "encode"}, {"length", 1000}},
        {{"service", "rerank"}, {"after", {0}}, {"length", 10}}};
    for (const char* service : {"encode", "rerank"})
    {
        cluster_.configuration()["services"].push_back(
            {{"name", service},
             {"maxConnections", 100},
             {"segments",
              {{"slots", 1},
               {"queueDepth", 2},
               {"batchSize", 8},
               {"callTimeMs", 20},
               {"itemTimeMs", 1},
               {"headroomMb", 10},
               {"handleTtlS", 4},
               {"linkMbps", 1000}}}});
    }
    rotate_key();
}

void soak_cluster::set_rules(const std::map<std::string, json>& rules)
{
    auto list = json::array();
    for (const auto& [link, rule] : rules)
    {
        list.push_back(rule);
        list.back()["route"] = link;
    }
    test_caller caller(control_);
    text_request request(http::verb::post, "/rules", 11);
    request.set(http::field::host, "proxy");
    request.body() = list.dump();
    if (!caller.send_request(request))
    {
        throw std::runtime_error("the fault proxy did not accept the rules");
    }
}

void soak_cluster::rotate_key()
{
    const std::lock_guard lock(mutex_);
    const auto before = key_name(key_number_);
    ++key_number_;
    cluster_.configuration()["tenants"][0]["apiKeys"] = {test_key,
                                                         key_name(key_number_)};
    cluster_.publish();
    revocation_times_[before] = boot_clock::now();
}

std::string soak_cluster::key() const
{
    const std::lock_guard lock(mutex_);
    return key_name(key_number_);
}

std::map<std::string, boot_clock::time_point>
soak_cluster::revocation_times() const
{
    const std::lock_guard lock(mutex_);
    return revocation_times_;
}

} // namespace mangolink::test
