#pragma once

#include "standins/standin_server.hpp"

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace mangolink::test
{

/// Piece as a stage server got it.
struct received_item final
{
    std::string request;
    unsigned stage = 0;
    unsigned item = 0;
    std::string key;
    std::vector<std::string> inputs;
};

/// Stand-in for a stage server: makes the pieces of a call after a time, one
/// call at a time, and keeps results until they are given up. Any thread.
class stage_server_standin final
{
public:
    stage_server_standin(std::string id, milliseconds call_time);

    /// Makes the next calls get 503 with the proof, or no answer at all.
    void shed_next(unsigned calls) { calls_to_shed_ = calls; }
    void hang_next(unsigned calls) { calls_to_hang_ = calls; }

    /// Makes the next pieces end with a reason in place of a result.
    void fail_next(unsigned items, const std::string& reason);

    /// Makes every piece find no room, and the report tell so.
    void set_full(bool full) { full_ = full; }

    std::vector<received_item> received() const;

    /// Returns the pieces of each call, in order.
    std::vector<std::size_t> calls() const;

    /// Returns the results that were made and not given up.
    std::size_t stored_results() const;

    const std::string& id() const { return id_; }
    std::string address() const { return server_.address().text(); }
    standin_server& server() { return server_; }

private:
    void handle(const text_request& request,
                const standin_server::reply& reply);
    scripted_answer process_call(const std::string& body);

    std::string id_;
    milliseconds call_time_;
    mutable std::mutex mutex_;
    std::vector<received_item> received_;
    std::vector<std::size_t> calls_;
    std::set<std::string> stored_results_;
    unsigned result_count_ = 0;
    std::atomic<unsigned> calls_to_shed_{0};
    std::atomic<unsigned> calls_to_hang_{0};
    std::atomic<bool> full_{false};
    unsigned items_to_fail_ = 0;
    std::string fail_reason_;
    standin_server server_; ///< last: its thread uses the rest
};

} // namespace mangolink::test
