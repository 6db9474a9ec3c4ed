#pragma once

#include "standins/engine_model.hpp"
#include "standins/standin_server.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace mangolink::test
{

/// Size and times of a stand-in model engine.
struct batching_engine_settings final
{
    bench::engine_model_settings model;
    std::size_t max_waiting = 4;    ///< requests that may wait for a place
    unsigned events_per_answer = 5; ///< of each answer, one token each
};

/// Model engine behind a stand-in: streams of all requests advance together
/// in steps, and prompt prefixes that were read before are not read again.
/// A request that finds no place is shed, one whose caller leaves is dropped.
/// Any thread, but for start().
class batching_engine final
{
public:
    batching_engine(const batching_engine_settings& settings,
                    standin_server& server);

    /// Starts a request on the server's thread; nothing when it is shed.
    std::optional<scripted_answer> start(const text_request& request,
                                         std::string head);

    /// Returns prompt tokens that were read, cached ones apart.
    std::uint64_t prefilled_tokens() const;

    /// Returns prompt tokens that were found in the cache.
    std::uint64_t reused_tokens() const;

    /// Returns the most requests that ran in one step.
    std::size_t largest_batch() const;

private:
    void step();
    void deliver(const bench::engine_step& step);

    batching_engine_settings settings_;
    standin_server& server_;
    mutable std::mutex mutex_;
    bench::engine_model model_;
    std::map<std::uint64_t, std::shared_ptr<body_stream>> streams_;
    std::uint64_t next_id_ = 1;
    bool stepping_ = false;
    std::uint64_t prefilled_tokens_ = 0;
    std::uint64_t reused_tokens_ = 0;
    std::size_t largest_batch_ = 0;
};

/// Returns the text of an event of a stream.
std::string event_text(unsigned number);

/// Returns bytes as one chunk of a chunked body.
std::string encode_chunk(const std::string& bytes);

} // namespace mangolink::test
