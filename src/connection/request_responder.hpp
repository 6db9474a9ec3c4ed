#pragma once

#include "connection/accepted_request.hpp"
#include "connection/asio_types.hpp"

#include <functional>
#include <string>

namespace mangolink
{

class forward_attempt;
class response_writer;
struct gateway_context;
struct request_end;

/// Gives a request of a caller its final answer and records how it ended. Used
/// by one thread.
class request_responder final
{
public:
    /// Adds the attempts and stages of the request to the record of its end.
    using describe_function = std::function<void(request_end&)>;

    /// The references must outlive this object.
    request_responder(gateway_context& context, response_writer& channel,
                      const accepted_request& accepted,
                      describe_function describe);

    /// Writes the answer of a backend server, or the end of its stream.
    asio::awaitable<void> deliver(forward_attempt& attempt, bool stream_begun);

    /// Writes an answer that promises that the request has not run.
    asio::awaitable<void> refuse(refusal details);

    /// Writes an answer that promises nothing.
    asio::awaitable<void> fail(http::status status, std::string reason);

    /// Closes the connection in the middle of an answer.
    void cut(const std::string& reason);

    /// Records the end of the request; `status` is 0 if the caller got no
    /// complete answer.
    void end(unsigned status, std::string reason);

    /// Returns whether the request has ended.
    bool ended() const { return ended_; }

private:
    asio::awaitable<void> write_own_answer(text_response response,
                                           std::string reason);

    gateway_context& context_;
    response_writer& channel_;
    const accepted_request& accepted_;
    describe_function describe_;
    bool ended_ = false;
};

} // namespace mangolink
