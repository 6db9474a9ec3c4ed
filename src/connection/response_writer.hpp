#pragma once

#include "connection/asio_types.hpp"

#include <string_view>

namespace mangolink
{

/// Way of one request's answer back to its caller. Each member that writes
/// returns false when the caller is gone.
class response_writer
{
public:
    virtual ~response_writer() = default;

    /// Writes a whole answer.
    virtual asio::awaitable<bool> write_response(text_response response) = 0;

    /// Writes the head of a streamed answer.
    virtual asio::awaitable<bool>
    begin_stream(http::response_header<> head) = 0;

    /// Writes the next part of a streamed answer.
    virtual asio::awaitable<bool> send(std::string_view part) = 0;

    /// Marks a streamed answer as complete.
    virtual asio::awaitable<bool> end_stream() = 0;

    /// Breaks the answer off so that the caller sees it is incomplete.
    virtual void cut() = 0;
};

} // namespace mangolink
