#pragma once

#include "connection/asio_types.hpp"
#include "connection/forward_protocol.hpp"
#include "request/send_permit.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mangolink
{

class backend_connection;
struct backend_server;

/// Head of an answer of a backend server.
struct received_head final
{
    const backend_server& server;
    const answer_metadata& metadata;
    boot_clock::time_point request_sent;
    bool expected; ///< false: it answers another request and is skipped
};

/// Called with the head of every answer of a backend server, before its body is
/// read.
using answer_listener = std::function<void(const received_head&)>;

/// One request and its answer on a connection to a backend server.
///
/// The request is written and the answer read concurrently, since a server may
/// answer before it has read a long body. Answers to other requests are
/// skipped. Used by one thread; abort() may be called while a coroutine waits.
class backend_exchange final
    : public std::enable_shared_from_this<backend_exchange>
{
public:
    /// `server`: at the other end of the connection. `permit`: used up unless
    /// no byte of the request reaches the connection. `listener`: may be null,
    /// as for peers. `expected_id`: request id that the answer must have;
    /// empty: any.
    backend_exchange(std::shared_ptr<const backend_server> server,
                     std::shared_ptr<backend_connection> connection,
                     send_permit permit, const forward_protocol& protocol,
                     answer_listener listener, text_request request,
                     std::string expected_id);

    /// Sends the request and reads the head of the answer. Returns false if the
    /// connection fails first.
    asio::awaitable<bool> begin();

    /// Appends the next received part of the body. Returns false if the
    /// connection fails before the body is complete.
    asio::awaitable<bool> read_some(std::string& body);

    /// Returns whether the body was read completely.
    bool complete() const;

    /// Ends the exchange; begin() and read_some() return false.
    void abort();

    /// Returns whether a byte may have reached the server.
    bool sent() const { return sent_; }

    /// Returns whether the connection can carry another request.
    bool reusable() const;

    const http::response_header<>& head() const;
    const answer_metadata& metadata() const { return metadata_; }
    const std::shared_ptr<backend_connection>& connection() const
    {
        return connection_;
    }
    const error_code& error() const { return error_; }

    /// Returns whether the answer has neither a length nor chunks, so that it
    /// ends with its connection.
    bool ends_with_connection() const;

    /// Returns whether the server has closed or reset the connection, also if
    /// that completes an answer that has neither a length nor chunks.
    bool closed_by_server() const;

private:
    using parser = http::response_parser<http::string_body>;

    void write_request();
    bool is_expected() const;
    asio::awaitable<bool> read_head();
    asio::awaitable<bool> skip_body();

    std::shared_ptr<const backend_server> server_;
    std::shared_ptr<backend_connection> connection_;
    send_permit permit_;
    const forward_protocol& protocol_;
    answer_listener listener_;
    text_request request_;
    std::string expected_id_;
    boot_clock::time_point sent_at_;
    http::request_serializer<http::string_body> serializer_;
    std::unique_ptr<parser> parser_;
    answer_metadata metadata_;
    error_code error_;
    bool sent_ = false;
    bool written_ = false;
    bool failed_ = false;
};

} // namespace mangolink
