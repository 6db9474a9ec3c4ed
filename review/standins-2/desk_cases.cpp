#include "cases.hpp"

#include <nlohmann/json.hpp>

#include <set>

namespace review
{
namespace
{

using nlohmann::json;

/// The users' "desk": a service whose requests may run once at most.
class desk final
{
public:
    desk(record& log, milliseconds work)
        : log_(log), work_(work),
          server_("i-7f3a91c2", "desk",
                  [this](connection& peer, const message& request)
                  { return run(peer, request); })
    {
    }

    const engine& server() const { return server_; }

    bool has_run(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        return ran_.contains(id);
    }

private:
    bool run(connection& peer, const message& request)
    {
        const auto id = request.header("x-attempt-id");
        {
            const std::lock_guard lock(mutex_);
            ran_.insert(id);
        }
        log_.add("engine runs " + id + ": " + request.start + ", tenant '" +
                 request.header("x-tenant") + "', body of " +
                 std::to_string(request.body.size()) + " bytes");
        pause(work_);
        return peer.send(sealed_answer(request, "recorded " + id));
    }

    record& log_;
    milliseconds work_;
    std::mutex mutex_;
    std::set<std::string> ran_;
    engine server_; ///< last: uses the other members
};

void publish(store& platform, const desk& server)
{
    platform.put("op/config", desk_configuration(1).dump());
    platform.put("servers/" + server.server().id(),
                 server.server().entry(1, 1));
}

/// Sends a request with an empty body on a connection of its own.
std::optional<message> ask(const gateway& node, const std::string& id,
                           const std::string& key, record& log)
{
    const auto client = connection::open(node.port());
    if (!client)
    {
        return std::nullopt;
    }
    log.add("requester sends " + id + " with key " + key);
    client->send(request_head("/orders/new", id, key) +
                 "Content-Length: 0\r\n\r\n");
    return read_answer(*client, id, log);
}

constexpr milliseconds start_limit{10'000};

} // namespace

verdict smuggled_request(const setting& given)
{
    store platform(given.log);
    desk orders(given.log, milliseconds(15));
    publish(platform, orders);
    const gateway node({platform.address()}, given.folder, given.log);
    if (!node.wait_until_ready(start_limit))
    {
        return verdict::not_run;
    }
    bool smuggled = false;
    bool served = true;
    int count = 0;
    for (const std::string coding : {"identity", "gzip", "chunked, identity"})
    {
        const std::string outer = "outer-" + std::to_string(++count);
        const std::string inner = "inner-" + std::to_string(count);
        const std::string body =
            request_head("/orders/new", inner) + "Content-Length: 0\r\n\r\n";
        const auto client = connection::open(node.port());
        if (!client)
        {
            return verdict::not_run;
        }
        given.log.add("requester sends " + outer + ", whose body of " +
                      std::to_string(body.size()) +
                      " bytes holds the text of " + "a request " + inner +
                      (given.trouble ? ", Transfer-Encoding: " + coding
                                     : ", with Content-Length"));
        client->send(request_head("/orders/new", outer) +
                     (given.trouble
                          ? "Transfer-Encoding: " + coding
                          : "Content-Length: " + std::to_string(body.size())) +
                     "\r\n\r\n" + body);
        const auto answer = read_answer(*client, outer, given.log);
        read_answer(*client, inner, given.log, milliseconds(1000));
        served = served && answer && answer->status() == 200;
        smuggled = smuggled || orders.has_run(inner);
    }
    if (!given.trouble && !served)
    {
        return verdict::not_run;
    }
    return smuggled ? verdict::broken : verdict::held;
}

verdict last_tenant_removed(const setting& given)
{
    constexpr milliseconds revoke_limit{5000};
    store platform(given.log);
    desk orders(given.log, milliseconds(15));
    publish(platform, orders);
    const gateway node({platform.address()}, given.folder, given.log);
    if (!node.wait_until_ready(start_limit))
    {
        return verdict::not_run;
    }
    const auto before = ask(node, "before", tenant_key, given.log);
    ask(node, "unknown-before", unknown_key, given.log);
    if (!before || before->status() != 200 || orders.has_run("unknown-before"))
    {
        return verdict::not_run;
    }
    json next = desk_configuration(4);
    if (given.trouble)
    {
        next["tenants"] = json::array();
    }
    platform.put("op/config", next.dump());
    pause(revoke_limit + milliseconds(1000));
    ask(node, "revoked", tenant_key, given.log);
    ask(node, "unknown", unknown_key, given.log);
    const bool revoked_ran = given.trouble && orders.has_run("revoked");
    return revoked_ran || orders.has_run("unknown") ? verdict::broken
                                                    : verdict::held;
}

verdict fractional_bound(const setting& given)
{
    store platform(given.log);
    desk orders(given.log, milliseconds(15));
    publish(platform, orders);
    deployment values{platform.address()};
    values.grace_s = given.trouble ? "7.5" : "8";
    given.log.add("settings: graceS = " + values.grace_s);
    gateway node(values, given.folder, given.log);
    const bool ready = node.wait_until_ready(start_limit);
    return ready          ? verdict::held
           : node.ended() ? verdict::broken
                          : verdict::not_run;
}

} // namespace review
