#include "stage_engine.hpp"

#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace review
{
namespace
{

using nlohmann::json;

constexpr milliseconds request_limit{60'000};
constexpr milliseconds check_interval{5};
constexpr milliseconds call_time{150};
constexpr milliseconds piece_time{11};
constexpr milliseconds result_lifetime{4000};

std::string ok_answer(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

void stage_results::add(const std::string& handle, stage_result result)
{
    const std::lock_guard lock(mutex_);
    results_[handle] = std::move(result);
}

void stage_results::free(const std::string& handle)
{
    const std::lock_guard lock(mutex_);
    const auto found = results_.find(handle);
    if (found != results_.end())
    {
        found->second.freed = true;
    }
}

std::string stage_results::request_of(const std::string& handle) const
{
    const std::lock_guard lock(mutex_);
    const auto found = results_.find(handle);
    return found == results_.end() ? "" : found->second.request;
}

bool stage_results::is_kept(const std::string& handle) const
{
    const std::lock_guard lock(mutex_);
    const auto found = results_.find(handle);
    return found != results_.end() && !found->second.freed &&
           std::chrono::steady_clock::now() < found->second.expires;
}

stage_engine::stage_engine(std::string id, stage_results& results)
    : id_(std::move(id)), results_(results),
      listener_(listen_on_free_port(port_)),
      acceptor_([this] { accept_loop(); })
{
}

stage_engine::~stage_engine()
{
    stopping_ = true;
    acceptor_.join();
    for (auto& thread : threads_)
    {
        thread.join();
    }
    ::close(listener_);
}

std::string stage_engine::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

std::vector<std::string> stage_engine::take_log()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(log_, {});
}

void stage_engine::accept_loop()
{
    while (!stopping_)
    {
        pollfd wanted{listener_, POLLIN, 0};
        if (::poll(&wanted, 1, static_cast<int>(check_interval.count())) <= 0)
        {
            continue;
        }
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0)
        {
            threads_.emplace_back([this, socket] { serve(socket); });
        }
    }
}

void stage_engine::serve(int socket)
{
    http_peer peer(socket);
    std::string late_copy;
    bool open = true;
    while (open && !stopping_)
    {
        // Reads in short steps, so that the end of the process is noticed.
        pollfd wanted{socket, POLLIN, 0};
        if (::poll(&wanted, 1, static_cast<int>(check_interval.count())) <= 0)
        {
            continue;
        }
        const auto request = peer.read(request_limit);
        if (!request || !request->complete)
        {
            return;
        }
        if (!late_copy.empty())
        {
            log("sent the late copy of an answer, before the answer to " +
                request->method() + " " + request->target());
            open = peer.send(std::exchange(late_copy, {}));
        }
        open = open && answer(peer, *request, late_copy);
    }
}

bool stage_engine::answer(http_peer& peer, const http_message& request,
                          std::string& late_copy)
{
    if (request.header("x-expect-instance") != id_)
    {
        return peer.send(
            "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id_ +
            "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    if (request.target() == "/v1/report")
    {
        return peer.send(
            ok_answer(R"({"waiting":0,"busy":false,"availableMb":61})"));
    }
    if (request.target() == "/v1/stage-free")
    {
        for (const auto& handle : json::parse(request.body)["handles"])
        {
            results_.free(handle.get<std::string>());
        }
        return peer.send(ok_answer("{}"));
    }
    const std::string bytes = ok_answer(run_call(request.body));
    late_copy = repeats_.exchange(false) ? bytes : "";
    ++answered_;
    return peer.send(bytes);
}

std::string stage_engine::run_call(const std::string& body)
{
    const std::lock_guard slot(slot_);
    ++begun_;
    const auto entries = json::parse(body)["entries"];
    std::this_thread::sleep_for(call_time + piece_time * entries.size());
    json made = json::array();
    std::string text;
    for (const auto& entry : entries)
    {
        const auto handle =
            address() + "/" + id_ + "-" + std::to_string(++made_);
        const auto request = entry["id"].get<std::string>();
        results_.add(handle,
                     {request,
                      std::chrono::steady_clock::now() + result_lifetime,
                      false});
        made.push_back({{"handle", handle}});
        text += " " + handle + " for " + request;
    }
    log("made" + text);
    return json{{"entries", made}}.dump();
}

void stage_engine::log(const std::string& line)
{
    const std::lock_guard lock(mutex_);
    log_.push_back(line);
}

} // namespace review
