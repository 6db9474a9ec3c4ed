#pragma once

#include "base/clock.hpp"
#include "base/socket_address.hpp"
#include "connection/asio_types.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include <optional>
#include <string>

namespace mangolink::test
{

/// Connection of a caller that waits for each answer with a timeout.
class test_caller final
{
public:
    explicit test_caller(const socket_address& address);

    /// Sends raw bytes; returns false if the connection is closed.
    bool send(const std::string& bytes);

    /// Sends a request and reads the answer; nullopt if it is incomplete.
    std::optional<text_response>
    send_request(const text_request& request,
                 milliseconds limit = milliseconds(20'000));

    /// Reads the next answer; nullopt if it is incomplete.
    std::optional<text_response>
    read_answer(milliseconds limit = milliseconds(20'000));

    /// Returns the body received of the last incomplete answer.
    const std::string& partial_body() const { return partial_body_; }

    /// Returns whether the peer closes the connection within the limit without
    /// sending more.
    bool closes_within(milliseconds limit);

    void close();

private:
    asio::io_context io_{1};
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::string partial_body_;
};

} // namespace mangolink::test
