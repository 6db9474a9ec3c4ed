#pragma once

#include "connection/asio_types.hpp"
#include "connection/forward_protocol.hpp"
#include "connection/message_reader.hpp"
#include "process/memory_account.hpp"
#include "request/send_permit.hpp"

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
    /// as for peers. `memory`: bounds the bytes of the answer. `expected_id`:
    /// request id that the answer must have; empty: any.
    backend_exchange(std::shared_ptr<const backend_server> server,
                     std::shared_ptr<backend_connection> connection,
                     send_permit permit, const forward_protocol& protocol,
                     answer_listener listener, memory_budget& memory,
                     text_request request, std::string expected_id);

    /// Sends the request and reads the head of the answer. Returns false if the
    /// connection fails first.
    asio::awaitable<bool> begin();

    /// Appends the next received part of the body. Returns false if the
    /// connection fails before the body is complete.
    asio::awaitable<bool> read_some(std::string& body);

    /// Appends the rest of the body. Returns false if the connection fails
    /// before it is complete, or if it has more than `max_bytes`; a declared
    /// length of more fails before any of it is read. `body` is empty then.
    asio::awaitable<bool> read_rest(std::string& body, std::uint64_t max_bytes);

    /// Returns whether the body was read completely.
    bool complete() const;

    /// Ends the exchange; begin() and read_some() return false.
    void abort();

    /// `reading`: false while nothing is read from the server, as its caller is
    /// slow. What arrives meanwhile is charged.
    void set_reading(bool reading) { reader_->set_reading(reading); }

    /// Sets what ends the holder of a complete body whose memory is needed.
    void set_on_reclaim(std::function<void()> on_reclaim);

    /// Returns whether the memory of the answer was needed for others.
    bool reclaimed() const { return memory_.reclaimed(); }

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
    void write_request();
    bool is_expected() const;
    asio::awaitable<bool> read_head();
    asio::awaitable<bool> skip_body();
    void reclaim();
    void fail(const error_code& error);

    std::shared_ptr<const backend_server> server_;
    std::shared_ptr<backend_connection> connection_;
    send_permit permit_;
    const forward_protocol& protocol_;
    answer_listener listener_;
    memory_account memory_;
    text_request request_;
    std::string expected_id_;
    boot_clock::time_point sent_at_;
    http::request_serializer<http::string_body> serializer_;
    std::unique_ptr<response_reader> reader_;
    answer_metadata metadata_;
    error_code error_;
    error_code write_error_;
    bool sent_ = false;
    bool written_ = false;
    bool failed_ = false;
};

} // namespace mangolink
