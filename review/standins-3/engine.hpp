#pragma once

#include "http_peer.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review
{

/// One request that an engine has received.
struct engine_run final
{
    http_message request;
    bool ran = false; ///< false if another instance was expected (421)
    steady_time begun;
    steady_time ended; ///< of the work; the time of the query while it goes on
    std::string end;   ///< "complete", "closed by the caller", "stopped"
                       ///< or "at work"
};

/// How an engine works on one request.
struct engine_work final
{
    /// Event ids of a stream, in order. Without any the answer is plain.
    std::vector<unsigned> events;
    milliseconds before_first{10};
    milliseconds between{30};
    /// The work pauses this long after the event with this id; 0: never.
    unsigned pause_after = 0;
    milliseconds pause{0};
    /// The engine crashes after the event with this id; 0: never.
    unsigned crash_after = 0;
    /// A second copy of a plain answer is sent late: at the point where the
    /// next answer on the connection is expected.
    bool repeats_late = false;
    /// The engine refuses the request with this status, unrun; 0: it runs it.
    unsigned refusal = 0;
};

/// Stand-in for an engine of the platform, as PROTOCOL.md describes it: echoes
/// X-Attempt-Id, seals its answers, answers 421 to requests for another
/// instance, and drops a request when its connection closes. Thread safe.
class engine final
{
public:
    using plan_function = std::function<engine_work(const http_message&)>;

    engine(std::string id, plan_function plan);
    ~engine();

    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    const std::string& id() const { return id_; }
    std::string address() const;

    /// Returns all requests received so far.
    std::vector<engine_run> runs() const;

private:
    void accept_loop();
    void serve(int socket);
    bool answer(http_peer& peer, const http_message& request,
                std::size_t number, std::string& late_copy);
    bool stream(http_peer& peer, const engine_work& work,
                const std::string& head, std::size_t number);
    bool work_for(const http_peer& peer, milliseconds time) const;
    std::size_t begin(const http_message& request, bool ran);
    void end(std::size_t number, const std::string& how);

    std::string id_;
    plan_function plan_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    std::atomic<bool> stopping_{false};
    mutable std::mutex mutex_;
    std::vector<engine_run> runs_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace review
