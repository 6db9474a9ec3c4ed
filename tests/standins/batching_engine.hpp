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

/// Capacity and timing of a stand-in model engine.
struct batching_engine_settings final
{
    bench::engine_model_settings model;
    std::size_t max_waiting = 4;    ///< requests queued for a batch slot
    unsigned events_per_answer = 5; ///< one token each
};

/// Model engine of a backend stand-in with continuous batching: the streams of
/// all running requests advance together in steps, and cached prompt prefixes
/// are not prefilled again. A request beyond the capacity is shed; one whose
/// caller disconnects is cancelled. Thread safe, except start().
class batching_engine final
{
public:
    batching_engine(const batching_engine_settings& settings,
                    standin_server& server);

    /// Starts a request; returns nullopt if it is shed. Called on the thread of
    /// the server.
    std::optional<scripted_answer> start(const text_request& request,
                                         std::string head);

    /// Returns the number of prompt tokens that were not in the cache.
    std::uint64_t prefilled_tokens() const;

    /// Returns the number of prompt tokens found in the cache.
    std::uint64_t reused_tokens() const;

    /// Returns the largest number of requests in one step.
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

/// Returns the text of a server-sent event.
std::string event_text(unsigned number);

/// Returns the bytes as one chunk of a chunked HTTP body.
std::string encode_chunk(const std::string& bytes);

} // namespace mangolink::test
