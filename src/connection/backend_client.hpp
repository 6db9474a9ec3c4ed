#pragma once

#include "base/clock.hpp"
#include "request/backend_call.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mangolink
{

/// Address and limits of a backend server.
struct backend_client_settings final
{
    std::string base_url; ///< such as "http://127.0.0.1:9000"
    long max_connections = 256;
    milliseconds connect_limit{1000};
    std::size_t max_answer_bytes = 2 * 1024 * 1024; ///< bytes
};

/// Callbacks of the client, called by perform().
struct backend_client_events final
{
    /// Text of a streamed answer and its number of tokens.
    std::function<void(call_id, std::string, std::uint32_t)> data;

    /// The end of a call; no event of it follows.
    std::function<void(call_id, const backend_answer&)> ended;
};

/// Makes HTTP calls to one backend server. Used by one thread.
///
/// A call marked non-idempotent uses a new connection that is not reused,
/// because libcurl retries a request by itself when a reused connection closes
/// before the first byte of the response.
class backend_client final
{
public:
    backend_client(backend_client_settings settings,
                   backend_client_events events);
    ~backend_client();

    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;

    /// Starts a call. Its events are delivered by perform().
    void start(const backend_call& call);

    /// Cancels a call; no event of it follows.
    void cancel(call_id id);

    /// Makes progress on all calls and delivers their events.
    void perform();

    /// Waits until a call can make progress, one of the descriptors is readable
    /// or the limit has passed. Delivers no events, so that the owner can check
    /// its descriptors, then call this, and miss no wakeup in between.
    void wait(int first_descriptor, int second_descriptor, milliseconds limit);

private:
    class transfer;

    void report_ended();

    backend_client_settings settings_;
    backend_client_events events_;
    void* multi_;
    absl::flat_hash_map<call_id, std::unique_ptr<transfer>> transfers_;
};

} // namespace mangolink
