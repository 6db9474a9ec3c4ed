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

/// Request received by a backend server.
struct received_request final
{
    std::string id;
    std::string target;
    std::string body;
    std::map<std::string, std::string> headers; ///< names in lower case
    bool ran = false;
    boot_clock::time_point at;
};

/// Fault applied to a request.
enum class backend_fault : std::uint8_t
{
    none,
    shed,             ///< 503 with proof that it did not run
    shed_copy,        ///< the same, and a copy of it 400 ms later
    too_many_copy,    ///< 429 with proof, and a copy of it 400 ms later
    inputs_gone,      ///< 409 with proof that it did not run
    inputs_gone_copy, ///< the same, and a copy of it 400 ms later
    failure,          ///< signed 500
    failure_unframed, ///< signed 500 without length, ended by closing
    no_content,       ///< signed 204
    cut_head,         ///< runs, then closes inside the head
    unproven_refusal, ///< runs, then 503 without proof
    answer_lost,      ///< runs, then resets without an answer
    truncated,        ///< runs, then closes inside the body
    unsigned_success, ///< 200 without a signature
    foreign_answer,   ///< an answer to another request comes first
    extra_answer,     ///< a second answer follows
    unframed,         ///< no Content-Length, ended by closing
    unframed_reset,   ///< no Content-Length, ended by a reset
    hang,             ///< runs and never answers
    trickling_event,  ///< a first event, then one byte of the next at a time
    event_closed,     ///< a stream that closes just before its first event ends
    event_reset,      ///< the same, by a reset
    event_ended,      ///< the same, by the regular end of the body
    event_silent,     ///< the same, but silent from then on
    endless_head,     ///< header lines until the caller closes
    endless_body,     ///< an answer without length, until the caller closes
    endless_event,    ///< a stream without the end of an event
    endless_chunk     ///< a chunk extension without end
};

/// Stand-in for a backend server: answers with bodies or event streams, and
/// records all requests. Refuses requests that expect another server id (421),
/// as the platform specifies. Thread safe.
class backend_standin final
{
public:
    explicit backend_standin(std::string id);
    ~backend_standin();

    backend_standin(const backend_standin&) = delete;
    backend_standin& operator=(const backend_standin&) = delete;

    /// Applies faults to the next requests, one each, in order.
    void add_faults(const std::vector<backend_fault>& faults);

    /// Removes the faults not yet applied, to streams as well.
    void clear_faults();

    /// Makes answers streams of `events` events with a pause before each.
    void set_stream(unsigned events, milliseconds pause);

    /// Lets streams have neither a length nor chunks and end with their
    /// connection. One that breaks off ends inside an event.
    void set_unframed_streams() { unframed_streams_ = true; }

    /// Makes answers streams of an engine with batches and a prompt cache.
    void set_engine(const batching_engine_settings& settings);

    /// Returns the engine; requires set_engine().
    const batching_engine& engine() const { return *engine_; }

    /// Makes the next stream break off after some events.
    void break_next_stream_after(unsigned events) { break_after_ = events; }

    /// Makes the next stream break off 300 ms after its head.
    void break_next_stream_after_head() { break_after_head_ = true; }

    /// Makes the next stream fall silent for a time after some events.
    void silence_next_stream(unsigned after_events, milliseconds time);

    /// Makes requests whose prompt has a part crash the server once it has sent
    /// the head and some events of their answer.
    void set_crashing_part(const std::string& part, unsigned events = 0);

    /// Ends all connections and accepts no more until recover().
    void crash();

    /// Returns whether the server has crashed and was not recovered.
    bool crashed() const { return crashed_; }
    void recover();

    /// Returns the times of all crashes, or of those caused by the part.
    std::vector<boot_clock::time_point> crash_times() const;
    std::vector<boot_clock::time_point> part_crash_times() const;

    /// Returns the requests received whose prompt has a part.
    std::vector<received_request>
    received_with_part(const std::string& part) const;

    /// Adds a header line to all answers; empty: none.
    void set_notice(const std::string& header);

    /// Adds a pause before each answer.
    void set_delay(milliseconds delay) { delay_ms_ = delay.count(); }

    std::vector<received_request> received() const;

    /// Returns the number of executions of a request.
    std::size_t run_count(const std::string& request_id) const;

    const std::string& id() const { return id_; }
    std::string address() const { return server_.address().text(); }
    standin_server& server() { return server_; }

private:
    void handle(const text_request& request,
                const standin_server::reply& reply);
    scripted_answer answer(const text_request& request, backend_fault fault);
    scripted_answer stream(const text_request& request);

    /// Turns an answer into one of the endless faults. `head`: of a stream;
    /// `unframed`: an answer without length.
    static void make_endless(scripted_answer& answer, backend_fault fault,
                             const std::string& head,
                             const std::string& unframed);

    /// Adds more bytes than a caller may accept.
    static void add_endless(scripted_answer& answer, const std::string& filler);
    std::string stream_head(const std::string& request) const;

    /// Returns a stream that ends inside its first event.
    scripted_answer torn_event(const std::string& request,
                               backend_fault fault) const;
    std::string stream_bytes(const std::string& text) const;
    std::vector<std::string> answer_headers(const std::string& request) const;
    backend_fault next_fault();
    void end_all_connections(bool by_part);

    std::string id_;
    mutable std::mutex mutex_;
    std::deque<backend_fault> faults_;
    std::vector<received_request> received_;
    unsigned stream_events_ = 0;
    milliseconds stream_pause_{0};
    std::atomic<bool> unframed_streams_{false};
    std::atomic<unsigned> break_after_{0};
    std::atomic<bool> break_after_head_{false};
    unsigned silent_after_ = 0;
    milliseconds silence_{0};
    std::string notice_;
    std::string crashing_part_; ///< empty: none
    unsigned events_before_crash_ = 0;
    std::atomic<bool> crashed_{false};
    std::vector<boot_clock::time_point> crash_times_;
    std::vector<boot_clock::time_point> part_crash_times_;
    std::atomic<std::int64_t> delay_ms_{0};
    std::unique_ptr<batching_engine> engine_;
    standin_server server_; ///< last, as its thread uses the other members
};

/// Returns the body of the answer of a backend server to a request.
std::string answer_body(const std::string& server, const std::string& request);

} // namespace mangolink::test
