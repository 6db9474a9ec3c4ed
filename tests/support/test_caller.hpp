#pragma once

#include "base/clock.hpp"
#include "base/socket_address.hpp"
#include "connection/asio_types.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include <optional>
#include <string>

namespace mangolink::test
{

/// Connection of a caller that waits for each answer, bounded by time.
class test_caller final
{
public:
    explicit test_caller(const socket_address& address);

    /// Sends bytes as they are; false when the connection is gone.
    bool send(const std::string& bytes);

    /// Sends a request and reads its answer.
    std::optional<text_response>
    send_request(const text_request& request,
                 milliseconds limit = milliseconds(20'000));

    /// Reads the next answer; nothing when none came whole.
    std::optional<text_response>
    read_answer(milliseconds limit = milliseconds(20'000));

    /// Returns what arrived of an answer that did not come whole.
    const std::string& partial_body() const { return partial_body_; }

    /// Returns whether the connection ended within a time, without an answer.
    bool closes_within(milliseconds limit);

    void close();

private:
    asio::io_context io_{1};
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::string partial_body_;
};

} // namespace mangolink::test
