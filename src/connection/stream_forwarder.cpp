#include "connection/stream_forwarder.hpp"

#include "connection/forward_protocol.hpp"
#include "connection/http_headers.hpp"
#include "connection/response_writer.hpp"

#include <string_view>

namespace mangolink
{

stream_forwarder::stream_forwarder(response_writer& channel,
                                   const forward_protocol& protocol,
                                   std::uint64_t last_event)
    : channel_(channel), protocol_(protocol), last_event_(last_event)
{
}

asio::awaitable<forward_result>
stream_forwarder::forward(const http::response_header<>& head,
                          std::string& pending, bool resumed)
{
    std::string complete_events;
    if (!extract_events(pending, resumed, complete_events))
    {
        co_return forward_result::gap;
    }
    if (complete_events.empty())
    {
        co_return forward_result::forwarded;
    }
    if (!begun_)
    {
        http::response_header<> own(head);
        remove_hop_by_hop_headers(own);
        begun_ = true;
        if (!co_await channel_.begin_stream(std::move(own)))
        {
            co_return forward_result::caller_gone;
        }
    }
    const bool delivered = co_await channel_.send(complete_events);
    co_return delivered ? forward_result::forwarded
                        : forward_result::caller_gone;
}

bool stream_forwarder::extract_events(std::string& pending, bool resumed,
                                      std::string& complete_events)
{
    constexpr std::string_view boundary = "\n\n";
    std::size_t at = 0;
    for (auto next = pending.find(boundary); next != std::string::npos;
         next = pending.find(boundary, at))
    {
        const std::string_view event(pending.data() + at,
                                     next + boundary.size() - at);
        at = next + boundary.size();
        const auto number = protocol_.event_number(event);
        if (number && resumed && *number <= last_event_)
        {
            continue;
        }
        if (number && resumed && *number > last_event_ + 1)
        {
            return false;
        }
        last_event_ = number.value_or(last_event_);
        complete_events += event;
    }
    pending.erase(0, at);
    return true;
}

} // namespace mangolink
