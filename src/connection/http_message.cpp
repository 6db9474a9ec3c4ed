#include "connection/http_message.hpp"

#include <strings.h>

#include <algorithm>

namespace mangolink
{
namespace
{

bool same_name(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           strncasecmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

std::string_view http_request::header(std::string_view name) const
{
    for (const auto& row : headers)
    {
        if (same_name(row.name, name))
        {
            return row.value;
        }
    }
    return {};
}

std::size_t http_request::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(
        headers.begin(), headers.end(),
        [name](const http_header& row) { return same_name(row.name, name); }));
}

std::string_view http_request::argument(std::string_view name) const
{
    for (const auto& row : query)
    {
        if (row.name == name)
        {
            return row.value;
        }
    }
    return {};
}

} // namespace mangolink
