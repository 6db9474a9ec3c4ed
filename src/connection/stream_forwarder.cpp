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

asio::awaitable<pass_end>
stream_forwarder::pass(const http::response_header<>& head,
                       std::string& pending, bool resumed)
{
    std::string whole;
    if (!take_events(pending, resumed, whole))
    {
        co_return pass_end::gap;
    }
    if (whole.empty())
    {
        co_return pass_end::passed;
    }
    if (!begun_)
    {
        http::response_header<> own(head);
        remove_hop_by_hop_headers(own);
        begun_ = true;
        if (!co_await channel_.begin_stream(std::move(own)))
        {
            co_return pass_end::caller_gone;
        }
    }
    const bool taken = co_await channel_.send(whole);
    co_return taken ? pass_end::passed : pass_end::caller_gone;
}

bool stream_forwarder::take_events(std::string& pending, bool resumed,
                                   std::string& whole)
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
        whole += event;
    }
    pending.erase(0, at);
    return true;
}

} // namespace mangolink
