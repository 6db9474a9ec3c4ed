#include "cases.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>
#include <sstream>

namespace review
{
namespace
{

using nlohmann::json;

constexpr milliseconds start_limit{10'000};

/// Pieces of a request of staged_request().
constexpr std::size_t pieces = 4;
constexpr const char* model_headers =
    "X-Model: m\r\nX-Token-Counts: 1460,80\r\n"
    "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n";

std::string json_answer(const json& body)
{
    const std::string text = body.dump();
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text;
}

std::string chunk(const std::string& text)
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

std::string event(unsigned number)
{
    return "id: " + std::to_string(number) + "\ndata: piece\n\n";
}

/// A server of stages; keeps which request each of its results is for. After
/// restart() it knows nothing of before, and its handles count from 1 again.
class stage_server final
{
public:
    stage_server(record& log, const std::string& id, const std::string& service,
                 milliseconds call_time)
        : log_(log), call_time_(call_time),
          server_(id, service,
                  [this](connection& peer, const message& request)
                  { return handle(peer, request); })
    {
    }

    const engine& server() const { return server_; }

    /// Returns the id of the request that a handle's result is for; empty if
    /// there is no such result.
    std::string owner(const std::string& handle)
    {
        const std::lock_guard lock(mutex_);
        const auto found = results_.find(handle);
        return found == results_.end() ? "" : found->second;
    }

    void restart()
    {
        const std::lock_guard lock(mutex_);
        results_.clear();
        count_ = 0;
        ++start_;
        log_.add("engine " + server_.id() + " starts again");
    }

private:
    bool handle(connection& peer, const message& request)
    {
        if (request.target() == "/v1/report")
        {
            return peer.send(json_answer(
                {{"waiting", 0}, {"busy", false}, {"availableMb", 50}}));
        }
        if (request.target() != "/v1/stage-run")
        {
            log_.add("engine " + server_.id() + ": " + request.start + " " +
                     request.body);
            return peer.send(json_answer(json::object()));
        }
        const unsigned start = start_;
        pause(call_time_);
        const std::lock_guard lock(mutex_);
        if (start != start_)
        {
            return false; // the start that got the call has ended
        }
        const json call = json::parse(request.body);
        auto entries = json::array();
        for (const auto& item : call["entries"])
        {
            const std::string handle =
                server_.address() + "/" + std::to_string(++count_);
            results_[handle] = item["id"].get<std::string>();
            entries.push_back({{"handle", handle}});
            log_.add("engine " + server_.id() + " makes " + handle + " for " +
                     item.dump());
        }
        return peer.send(json_answer({{"entries", entries}}));
    }

    record& log_;
    milliseconds call_time_;
    std::mutex mutex_;
    std::map<std::string, std::string> results_; ///< by handle: request
    unsigned count_ = 0;
    std::atomic<unsigned> start_{0};
    engine server_; ///< last: uses the other members
};

/// What model engines have in common.
struct model_state final
{
    record& log;
    bool tears = false; ///< the first stream is cut inside its first event
    std::mutex mutex;
    std::vector<std::pair<std::string, std::vector<std::string>>>
        arrivals; ///< request and the inputs it came with
};

std::vector<std::string> inputs_of(const message& request)
{
    std::vector<std::string> handles;
    std::istringstream list(request.header("x-input-count"));
    std::string handle;
    while (std::getline(list, handle, ','))
    {
        handles.push_back(handle);
    }
    return handles;
}

/// Serves a request at a model engine: a stream of three events.
bool run_model(model_state& state, const std::string& engine, connection& peer,
               const message& request)
{
    const auto id = request.header("x-attempt-id");
    const auto inputs = inputs_of(request);
    bool tear = false;
    {
        const std::lock_guard lock(state.mutex);
        tear = state.tears && state.arrivals.empty();
        state.arrivals.emplace_back(id, inputs);
    }
    state.log.add("engine " + engine + " gets " + id + " with inputs '" +
                  request.header("x-input-count") + "'");
    if (inputs.empty())
    {
        return peer.send(not_executed(request, 400));
    }
    peer.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
              "\r\nX-Response-Seal: seal-" + engine +
              "\r\nContent-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
    if (tear)
    {
        const std::string whole = event(1);
        peer.send(chunk(whole.substr(0, whole.size() / 2)));
        pause(milliseconds(100));
        state.log.add("engine " + engine + " crashes in the first event of " +
                      id);
        peer.reset();
        return false;
    }
    constexpr unsigned events = 3;
    for (unsigned number = 1; number <= events; ++number)
    {
        peer.send(chunk(event(number)));
        pause(milliseconds(20));
    }
    return peer.send("0\r\n\r\n");
}

engine model_engine(model_state& state, const std::string& id)
{
    return engine(id, "model",
                  [&state, id](connection& peer, const message& request)
                  { return run_model(state, id, peer, request); });
}

std::string staged_request(const std::string& id)
{
    return request_head("/review/pack", id) + model_headers +
           "X-Chunk-Count: 2,2\r\nX-Chunk-Key: 7c1e07a291bd\r\n"
           "Content-Length: 0\r\n\r\n";
}

} // namespace

verdict torn_first_event(const setting& given)
{
    store platform(given.log);
    stage_server first(given.log, "s-1", "encode", milliseconds(150));
    constexpr milliseconds second_call{300};
    stage_server second(given.log, "s-2", "retrieve", second_call);
    model_state state{given.log, given.trouble, {}, {}};
    const engine one = model_engine(state, "m-1");
    const engine two = model_engine(state, "m-2");
    platform.put("op/config", model_configuration(1, second_call).dump());
    for (const auto* server : {&first.server(), &second.server(), &one, &two})
    {
        platform.put("servers/" + server->id(), server->entry(1, 1));
    }
    const gateway node({platform.address()}, given.folder, given.log);
    if (!node.wait_until_ready(start_limit))
    {
        return verdict::not_run;
    }
    const auto client = connection::open(node.port());
    given.log.add("requester sends a1, with two pieces in each of two stages");
    client->send(staged_request("a1"));
    const auto answer =
        read_answer(*client, "a1", given.log, milliseconds(9000));
    const std::lock_guard lock(state.mutex);
    if (state.arrivals.empty() || (!given.trouble && !answer))
    {
        return verdict::not_run;
    }
    const bool all = std::all_of(state.arrivals.begin(), state.arrivals.end(),
                                 [](const auto& arrival)
                                 { return arrival.second.size() == pieces; });
    return all ? verdict::held : verdict::broken;
}

verdict reused_handle(const setting& given)
{
    store platform(given.log);
    stage_server first(given.log, "s-1", "encode", milliseconds(150));
    constexpr milliseconds second_call{2000};
    stage_server second(given.log, "s-2", "retrieve", second_call);
    model_state state{given.log, false, {}, {}};
    const engine one = model_engine(state, "m-1");
    platform.put("op/config", model_configuration(1, second_call).dump());
    for (const auto* server : {&first.server(), &second.server(), &one})
    {
        platform.put("servers/" + server->id(), server->entry(1, 1));
    }
    const gateway node({platform.address()}, given.folder, given.log);
    if (!node.wait_until_ready(start_limit))
    {
        return verdict::not_run;
    }
    const auto client = connection::open(node.port());
    const auto other = connection::open(node.port());
    given.log.add("requester sends a1");
    client->send(staged_request("a1"));
    pause(milliseconds(600));
    if (given.trouble)
    {
        first.restart();
        platform.put("servers/s-1", first.server().entry(2, 1));
    }
    pause(milliseconds(600));
    given.log.add("requester sends b1");
    other->send(staged_request("b1"));
    read_answer(*client, "a1", given.log, milliseconds(9000));
    read_answer(*other, "b1", given.log, milliseconds(9000));
    const std::lock_guard lock(state.mutex);
    bool foreign = false;
    for (const auto& [id, inputs] : state.arrivals)
    {
        for (const auto& handle : inputs)
        {
            const auto owner = first.owner(handle);
            foreign = foreign || (!owner.empty() && owner != id);
        }
    }
    return state.arrivals.empty() ? verdict::not_run
           : foreign              ? verdict::broken
                                  : verdict::held;
}

} // namespace review
