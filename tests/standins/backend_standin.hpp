#pragma once

#include "standins/batching_engine.hpp"
#include "standins/standin_server.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mangolink::test
{

/// Request as a backend server got it.
struct received_request final
{
    std::string id;
    std::string target;
    std::string body;
    std::map<std::string, std::string> headers; ///< names in lower case
    bool ran = false;
    boot_clock::time_point at;
};

/// What the next request meets.
enum class backend_fault : std::uint8_t
{
    none,
    shed,             ///< 503 with the proof of not having run
    failure,          ///< signed 500
    unproven_refusal, ///< 503 without the proof, after it ran
    answer_lost,      ///< runs, then resets without an answer
    truncated,        ///< runs, then closes inside the body
    unsigned_success, ///< 200 without a signature
    foreign_answer,   ///< an answer to another request first
    extra_answer,     ///< a second answer behind its own
    unframed,         ///< no length, ended by closing
    unframed_reset,   ///< no length, ended by a reset
    hang              ///< runs and never answers
};

/// Stand-in for a backend server: answers requests or event streams, and
/// keeps what it got. Checks the expected server id as the platform says.
/// Any thread.
class backend_standin final
{
public:
    explicit backend_standin(std::string id);
    ~backend_standin();

    backend_standin(const backend_standin&) = delete;
    backend_standin& operator=(const backend_standin&) = delete;

    /// Makes following requests, in order, meet faults.
    void add_faults(const std::vector<backend_fault>& faults);

    /// Drops the faults that no request has met.
    void clear_faults();

    /// Makes answers streams of this many events, a pause before each.
    void set_stream(unsigned events, milliseconds pause);

    /// Makes answers streams of an engine that batches and caches prompts.
    void set_engine(const batching_engine_settings& settings);

    /// Returns the engine of set_engine().
    const batching_engine& engine() const { return *engine_; }

    /// Makes the next stream break off after some events.
    void break_next_stream_after(unsigned events) { break_after_ = events; }

    /// Adds a pause before each answer.
    void set_delay(milliseconds delay) { delay_ms_ = delay.count(); }

    std::vector<received_request> received() const;

    /// Returns how often a request ran.
    std::size_t run_count(const std::string& request_id) const;

    const std::string& id() const { return id_; }
    std::string address() const { return server_.address().text(); }
    standin_server& server() { return server_; }

private:
    void handle(const text_request& request,
                const standin_server::reply& reply);
    scripted_answer answer(const text_request& request, backend_fault fault);
    scripted_answer stream(const text_request& request);
    std::string stream_head(const std::string& request) const;
    std::vector<std::string> answer_headers(const std::string& request) const;
    backend_fault next_fault();

    std::string id_;
    mutable std::mutex mutex_;
    std::deque<backend_fault> faults_;
    std::vector<received_request> received_;
    unsigned stream_events_ = 0;
    milliseconds stream_pause_{0};
    std::atomic<unsigned> break_after_{0};
    std::atomic<std::int64_t> delay_ms_{0};
    std::unique_ptr<batching_engine> engine_;
    standin_server server_; ///< last: its thread uses the rest
};

/// Returns the body that a backend server answers a request with.
std::string answer_body(const std::string& server, const std::string& request);

} // namespace mangolink::test
