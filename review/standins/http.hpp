#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace review
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

/// HTTP message. Names of headers are in lower case.
struct message final
{
    std::string start_line;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const;

    /// Returns the path and query of a request.
    std::string target() const;

    /// Returns the status of a response, or 0.
    int status() const;
};

/// TCP connection on loopback that reads and writes HTTP messages.
class connection final
{
public:
    explicit connection(int descriptor) : descriptor_(descriptor) {}
    ~connection();

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Connects to IP:PORT; the result is not open if that fails.
    static connection connect_to(const std::string& address);

    connection(connection&& other) noexcept;
    connection& operator=(connection&& other) noexcept;

    bool open() const { return descriptor_ >= 0; }
    bool send(std::string_view bytes);

    /// Reads a request; nothing if the connection ends first.
    std::optional<message> read_request();

    /// Reads a complete final response until `deadline` and skips interim ones
    /// (1xx). Returns nothing at the deadline or if the connection ends.
    std::optional<message> read_response(clock::time_point deadline);

    /// Returns whether the last read ended at its deadline.
    bool timed_out() const { return timed_out_; }

    /// Bytes received that are not part of a complete message yet.
    const std::string& pending() const { return buffer_; }

    void close();

    /// Bytes that a faulty server sends before its next answer.
    std::string& late_copy() { return late_copy_; }

private:
    std::optional<message> read_message(bool is_response);
    bool read_chunks(message& result);
    bool fill();
    bool fill_to(std::size_t size);

    int descriptor_ = -1;
    std::string buffer_;
    std::string late_copy_;
    std::optional<clock::time_point> deadline_;
    bool timed_out_ = false;
};

/// HTTP server on a free port of 127.0.0.1 with a thread for each connection.
/// Lives until the process exits.
class server final
{
public:
    /// Answers a request; returns whether the connection stays open.
    using handler = std::function<bool(connection&, const message&)>;

    explicit server(handler handle);

    const std::string& address() const { return address_; }

    /// Closes all connections and refuses new ones until recover().
    void crash();

    /// Listens at the same address again.
    void recover();

private:
    void listen();
    void serve(int accepted);

    handler handle_;
    std::string address_;
    std::mutex mutex_;
    int descriptor_ = -1;
    std::set<int> connections_;
};

/// Returns a response; each header line ends with CRLF.
std::string response(int status, const std::string& body,
                     const std::string& headers = {});

/// Returns a free port of an address.
int free_port(const std::string& host);

} // namespace review
