#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace review
{

using steady_time = std::chrono::steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// Request or response as it was read from a connection.
struct http_message final
{
    std::string first_line;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool complete = false; ///< false if the connection ended inside the body

    std::string header(const std::string& name) const;
    std::string method() const; ///< of a request
    std::string target() const; ///< of a request
    int status() const;         ///< of a response
};

/// Blocking TCP connection that reads HTTP/1.1 messages. Closed when the object
/// is destroyed.
class http_peer final
{
public:
    /// Takes over an open socket.
    explicit http_peer(int socket);
    /// Connects to a loopback address of the form IP:PORT.
    explicit http_peer(const std::string& address);
    ~http_peer();

    http_peer(const http_peer&) = delete;
    http_peer& operator=(const http_peer&) = delete;

    bool connected() const { return socket_ >= 0; }

    /// Sends all bytes; returns false if the connection is closed.
    bool send(const std::string& bytes) const;

    /// Reads the next message with a length, with chunks or without a body;
    /// nullopt if none begins within the limit.
    std::optional<http_message> read(milliseconds limit);

    /// Returns whether the peer has closed the connection.
    bool closed_by_peer() const;

    void close();

private:
    bool receive(steady_time until);
    bool read_chunks(std::string& body, steady_time until);
    std::optional<std::string> take_line(steady_time until);
    bool take(std::size_t size, std::string& target, steady_time until);

    int socket_ = -1;
    std::string buffer_;
};

/// Opens a listening socket on 127.0.0.1 and a free port.
int listen_on_free_port(std::uint16_t& port);

} // namespace review
