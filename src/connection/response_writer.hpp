#pragma once

#include "connection/asio_types.hpp"

#include <string_view>

namespace mangolink
{

/// Writes the response of one request to its caller. Each write returns false
/// when the caller has disconnected.
class response_writer
{
public:
    virtual ~response_writer() = default;

    /// Writes a complete response.
    virtual asio::awaitable<bool> write_response(text_response response) = 0;

    /// Writes the header of a streamed response.
    virtual asio::awaitable<bool>
    begin_stream(http::response_header<> head) = 0;

    /// Writes the next part of a streamed response.
    virtual asio::awaitable<bool> send(std::string_view part) = 0;

    /// Completes a streamed response.
    virtual asio::awaitable<bool> end_stream() = 0;

    /// Closes the connection, so that the caller sees an incomplete response.
    virtual void cut() = 0;
};

} // namespace mangolink
