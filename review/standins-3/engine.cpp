#include "engine.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <utility>

namespace review
{
namespace
{

constexpr milliseconds idle_limit{60'000};
constexpr milliseconds check_interval{5};

std::string chunk_of(const std::string& bytes)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

std::string event_text(unsigned number)
{
    return "id: " + std::to_string(number) + "\ndata: piece-" +
           std::to_string(number) + "\n\n";
}

} // namespace

engine::engine(std::string id, plan_function plan)
    : id_(std::move(id)), plan_(std::move(plan)),
      listener_(listen_on_free_port(port_)),
      acceptor_([this] { accept_loop(); })
{
}

engine::~engine()
{
    stopping_ = true;
    acceptor_.join();
    for (auto& thread : threads_)
    {
        thread.join();
    }
    ::close(listener_);
}

std::string engine::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

std::vector<engine_run> engine::runs() const
{
    const std::lock_guard lock(mutex_);
    auto result = runs_;
    for (auto& run : result)
    {
        if (run.end == "at work")
        {
            run.ended = std::chrono::steady_clock::now();
        }
    }
    return result;
}

void engine::accept_loop()
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

void engine::serve(int socket)
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
        const auto request = peer.read(idle_limit);
        if (!request || !request->complete)
        {
            return;
        }
        const bool expected = request->header("x-expect-instance") == id_ &&
                              !request->header("x-attempt-id").empty();
        const auto number = begin(*request, expected);
        open = late_copy.empty() || peer.send(std::exchange(late_copy, {}));
        open = open && answer(peer, *request, number, late_copy);
    }
}

bool engine::answer(http_peer& peer, const http_message& request,
                    std::size_t number, std::string& late_copy)
{
    const std::string echo =
        "X-Attempt-Id: " + request.header("x-attempt-id") + "\r\n";
    if (request.header("x-expect-instance") != id_)
    {
        end(number, "complete");
        return peer.send("HTTP/1.1 421 Misdirected Request\r\n" + echo +
                         "X-Instance-Id: " + id_ +
                         "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    if (request.header("x-attempt-id").empty())
    {
        end(number, "complete");
        return peer.send("HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
    }
    const auto work = plan_(request);
    if (work.refusal != 0)
    {
        end(number, "refused with " + std::to_string(work.refusal));
        return peer.send("HTTP/1.1 " + std::to_string(work.refusal) +
                         " Refused\r\n" + echo +
                         "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    const std::string head = "HTTP/1.1 200 OK\r\n" + echo +
                             "X-Response-Seal: seal-of-" + id_ + "-" +
                             request.header("x-attempt-id") + "\r\n";
    if (!work.events.empty())
    {
        return stream(peer, work, head, number);
    }
    const bool open = work_for(peer, work.before_first);
    const std::string body =
        "done by " + id_ + " for " + request.header("x-attempt-id");
    const std::string bytes = head +
                              "Content-Length: " + std::to_string(body.size()) +
                              "\r\n\r\n" + body;
    late_copy = work.repeats_late ? bytes : "";
    end(number, open ? "complete" : "closed by the caller");
    return open && peer.send(bytes);
}

bool engine::stream(http_peer& peer, const engine_work& work,
                    const std::string& head, std::size_t number)
{
    bool open = work_for(peer, work.before_first) &&
                peer.send(head + "Content-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n");
    for (const auto event : work.events)
    {
        open = open && peer.send(chunk_of(event_text(event)));
        if (open && event == work.crash_after)
        {
            end(number, "crashed");
            return false;
        }
        open = open && work_for(peer, event == work.pause_after ? work.pause
                                                                : work.between);
    }
    open = open && peer.send("0\r\n\r\n");
    end(number, open        ? "complete"
                : stopping_ ? "stopped"
                            : "closed by the caller");
    return open;
}

bool engine::work_for(const http_peer& peer, milliseconds time) const
{
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until)
    {
        if (stopping_ || peer.closed_by_peer())
        {
            return false;
        }
        std::this_thread::sleep_for(check_interval);
    }
    return true;
}

std::size_t engine::begin(const http_message& request, bool ran)
{
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    runs_.push_back({request, ran, now, now, "at work"});
    return runs_.size() - 1;
}

void engine::end(std::size_t number, const std::string& how)
{
    const std::lock_guard lock(mutex_);
    runs_[number].ended = std::chrono::steady_clock::now();
    runs_[number].end = how;
}

} // namespace review
