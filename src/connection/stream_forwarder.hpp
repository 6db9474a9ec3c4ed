#pragma once

#include "connection/asio_types.hpp"

#include <cstdint>
#include <string>

namespace mangolink
{

class response_writer;
class forward_protocol;

/// How events were passed on.
enum class forward_result : std::uint8_t
{
    forwarded,
    gap,        ///< events of a resumed stream are missing
    caller_gone ///< nobody takes them any more
};

/// Passes the events of one answer to its caller, whole ones only, also when
/// the stream goes on from another server. Used by one thread.
class stream_forwarder final
{
public:
    /// `last_event`: the caller has the stream up to this event.
    stream_forwarder(response_writer& channel, const forward_protocol& protocol,
                     std::uint64_t last_event);

    /// Passes the whole events in `pending` on and leaves the rest there. The
    /// head of the first server's answer becomes the caller's.
    asio::awaitable<forward_result> forward(const http::response_header<>& head,
                                            std::string& pending, bool resumed);

    /// Returns whether the caller has seen a part of the answer.
    bool begun() const { return begun_; }

    /// Returns the number of the last event passed on.
    std::uint64_t last_event() const { return last_event_; }

private:
    /// Takes the whole events out of `pending`; false when some are missing.
    bool extract_events(std::string& pending, bool resumed, std::string& whole);

    response_writer& channel_;
    const forward_protocol& protocol_;
    std::uint64_t last_event_;
    bool begun_ = false;
};

} // namespace mangolink
