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
    for (const auto& field : headers)
    {
        if (same_name(field.name, name))
        {
            return field.value;
        }
    }
    return {};
}

std::size_t http_request::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(),
                      [name](const http_header& field)
                      { return same_name(field.name, name); }));
}

std::string_view http_request::argument(std::string_view name) const
{
    for (const auto& field : query)
    {
        if (field.name == name)
        {
            return field.value;
        }
    }
    return {};
}

} // namespace mangolink
