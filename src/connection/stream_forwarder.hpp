#pragma once

#include "connection/asio_types.hpp"

#include <cstdint>
#include <string>

namespace mangolink
{

class response_writer;
class forward_protocol;

/// Result of forwarding events.
enum class forward_result : std::uint8_t
{
    forwarded,
    gap,        ///< events of a resumed stream are missing
    caller_gone ///< the caller has disconnected
};

/// Forwards complete events of one streamed answer to its caller, also when
/// another server resumes the stream. Used by one thread.
class stream_forwarder final
{
public:
    /// `last_event`: number of the last event that the caller received.
    stream_forwarder(response_writer& channel, const forward_protocol& protocol,
                     std::uint64_t last_event);

    /// Forwards the complete events in `pending` and leaves the rest there. The
    /// caller gets the head of the first server's answer.
    asio::awaitable<forward_result> forward(const http::response_header<>& head,
                                            std::string& pending, bool resumed);

    /// Returns whether a part of the answer was sent to the caller.
    bool begun() const { return begun_; }

    /// Returns the number of the last forwarded event.
    std::uint64_t last_event() const { return last_event_; }

private:
    /// Moves complete events out of `pending`; false if events are missing.
    bool extract_events(std::string& pending, bool resumed,
                        std::string& complete_events);

    response_writer& channel_;
    const forward_protocol& protocol_;
    std::uint64_t last_event_;
    bool begun_ = false;
};

} // namespace mangolink
