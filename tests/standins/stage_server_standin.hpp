#pragma once

#include "standins/standin_server.hpp"

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace mangolink::test
{

/// Item received by a stage server.
struct received_item final
{
    std::string request;
    unsigned stage = 0;
    unsigned item = 0;
    std::string key;
    std::vector<std::string> inputs;
};

/// Stand-in for a stage server: answers calls with results for their items
/// after a fixed time, and stores the results until they are freed. Thread
/// safe.
class stage_server_standin final
{
public:
    stage_server_standin(std::string id, milliseconds call_time);

    /// Refuses the next calls with 503 and proof, or leaves them unanswered.
    void shed_next(unsigned calls) { calls_to_shed_ = calls; }
    void hang_next(unsigned calls) { calls_to_hang_ = calls; }

    /// Returns the number of calls left unanswered.
    unsigned hung() const { return hung_calls_; }

    /// Makes the next items fail with a reason.
    void fail_next(unsigned items, const std::string& reason);

    /// Makes every item fail for lack of memory, and reports no free memory.
    void set_full(bool full) { full_ = full; }

    /// Adds a header line to all answers; empty: none.
    void set_notice(const std::string& header);

    /// Returns the number of requests of any kind that arrived.
    std::size_t arrivals() const { return arrivals_; }

    std::vector<received_item> received() const;

    /// Returns the number of items in each call, in order.
    std::vector<std::size_t> calls() const;

    /// Returns the number of results not freed yet.
    std::size_t stored_results() const;

    const std::string& id() const { return id_; }
    std::string address() const { return server_.address().text(); }
    standin_server& server() { return server_; }

private:
    void handle(const text_request& request,
                const standin_server::reply& reply);
    scripted_answer process_call(const std::string& body);
    scripted_answer answer(int status, const std::string& body) const;

    std::string id_;
    milliseconds call_time_;
    mutable std::mutex mutex_;
    std::vector<received_item> received_;
    std::vector<std::size_t> calls_;
    std::set<std::string> stored_results_;
    unsigned result_count_ = 0;
    std::atomic<unsigned> calls_to_shed_{0};
    std::atomic<unsigned> calls_to_hang_{0};
    std::atomic<unsigned> hung_calls_{0};
    std::atomic<bool> full_{false};
    std::atomic<std::size_t> arrivals_{0};
    std::string notice_;
    unsigned items_to_fail_ = 0;
    std::string fail_reason_;
    standin_server server_; ///< last, as its thread uses the other members
};

} // namespace mangolink::test
