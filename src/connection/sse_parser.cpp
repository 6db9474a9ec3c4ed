#include "connection/sse_parser.hpp"

namespace mangolink
{
namespace
{

constexpr std::size_t max_event = 256 * 1024;

std::string_view value_after(std::string_view line, std::size_t prefix)
{
    line.remove_prefix(prefix);
    if (!line.empty() && line.front() == ' ')
    {
        line.remove_prefix(1);
    }
    return line;
}

} // namespace

std::vector<sse_event> sse_parser::add(std::string_view bytes)
{
    std::vector<sse_event> events;
    while (!limit_exceeded_)
    {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos)
        {
            partial_ += bytes;
            limit_exceeded_ = partial_.size() > max_event;
            break;
        }
        partial_ += bytes.substr(0, end);
        bytes.remove_prefix(end + 1);
        if (!partial_.empty() && partial_.back() == '\r')
        {
            partial_.pop_back();
        }
        parse_line(partial_, events);
        partial_.clear();
    }
    return events;
}

void sse_parser::parse_line(std::string_view line,
                            std::vector<sse_event>& events)
{
    constexpr std::string_view data_field = "data:";
    constexpr std::string_view event_field = "event:";
    if (line.empty())
    {
        if (!current_.data.empty() || !current_.name.empty())
        {
            events.push_back(std::move(current_));
        }
        current_ = {};
    }
    else if (line.starts_with(data_field))
    {
        if (!current_.data.empty())
        {
            current_.data += '\n';
        }
        current_.data += value_after(line, data_field.size());
        limit_exceeded_ = limit_exceeded_ || current_.data.size() > max_event;
    }
    else if (line.starts_with(event_field))
    {
        current_.name = value_after(line, event_field.size());
    }
}

} // namespace mangolink
