#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mangolink
{

/// An HTTP header field.
struct http_header final
{
    std::string name;
    std::string value;
};

/// A completely received request.
struct http_request final
{
    std::string method;
    std::string path;
    std::vector<http_header> headers;
    std::vector<http_header> query;
    std::string body;

    /// Returns the value of a header, whose name is matched without regard to
    /// case; empty when it is absent.
    std::string_view header(std::string_view name) const;

    /// Returns how often a header occurs in the request.
    std::size_t count(std::string_view name) const;

    /// Returns the value of a query argument; empty when it is absent.
    std::string_view argument(std::string_view name) const;
};

/// A complete response.
struct http_response final
{
    std::uint32_t status = 200;
    std::vector<http_header> headers;
    std::string body;
};

} // namespace mangolink
