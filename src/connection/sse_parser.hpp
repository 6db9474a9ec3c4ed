#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// One server-sent event.
struct sse_event final
{
    std::string name; ///< empty when the event has no name
    std::string data;
};

/// Incremental parser of server-sent events.
class sse_parser final
{
public:
    /// Adds received bytes; returns the events that they complete.
    std::vector<sse_event> add(std::string_view bytes);

    /// Returns whether a line or event exceeded the size limit.
    bool limit_exceeded() const { return limit_exceeded_; }

private:
    void parse_line(std::string_view line, std::vector<sse_event>& events);

    std::string partial_;
    sse_event current_;
    bool limit_exceeded_ = false;
};

} // namespace mangolink
