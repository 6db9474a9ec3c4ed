#pragma once

#include "http_peer.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review
{

/// Result of a piece, as its maker keeps it.
struct stage_result final
{
    std::string request; ///< id of the request that the piece belongs to
    steady_time expires;
    bool freed = false;
};

/// The results of all stage engines of a deployment, by handle. A model engine
/// asks it whether it can fetch its inputs. Thread safe.
class stage_results final
{
public:
    void add(const std::string& handle, stage_result result);
    void free(const std::string& handle);

    /// Returns the request that the result belongs to; empty: never made.
    std::string request_of(const std::string& handle) const;

    /// Returns whether the result can be fetched now.
    bool is_kept(const std::string& handle) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, stage_result> results_;
};

/// Stand-in for an engine of a stage, as PROTOCOL.md describes it: one call at
/// a time, 150 ms a call and 11 ms a piece, results kept for 4 s. Thread safe.
class stage_engine final
{
public:
    stage_engine(std::string id, stage_results& results);
    ~stage_engine();

    stage_engine(const stage_engine&) = delete;
    stage_engine& operator=(const stage_engine&) = delete;

    const std::string& id() const { return id_; }
    std::string address() const;

    /// Numbers of the calls that were begun, and answered.
    unsigned begun() const { return begun_; }
    unsigned answered() const { return answered_; }

    /// Sends the answer of the next call once more, late: at the point where
    /// the next answer on its connection is expected.
    void repeat_next_answer() { repeats_ = true; }

    /// Returns what was asked and answered since the last query of it.
    std::vector<std::string> take_log();

private:
    void accept_loop();
    void serve(int socket);
    bool answer(http_peer& peer, const http_message& request,
                std::string& late_copy);
    std::string run_call(const std::string& body);
    void log(const std::string& line);

    std::string id_;
    stage_results& results_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> repeats_{false};
    std::atomic<unsigned> begun_{0};
    std::atomic<unsigned> answered_{0};
    std::mutex slot_;
    mutable std::mutex mutex_;
    unsigned made_ = 0;
    std::vector<std::string> log_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace review
