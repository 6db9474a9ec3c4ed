#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <thread>
#include <utility>

namespace review
{
namespace
{

sockaddr_in parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
        htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

int listen_on(const std::string& address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in bound = parse_address(address);
    constexpr int backlog = 512;
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&bound),
               sizeof bound) != 0 ||
        ::listen(descriptor, backlog) != 0)
    {
        throw std::runtime_error("cannot listen on " + address);
    }
    return descriptor;
}

int port_of(int descriptor)
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

void send_without_delay(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

message parse_head(const std::string& head)
{
    message result;
    std::size_t at = head.find("\r\n");
    result.start_line = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size())
    {
        const auto begin = at + 2;
        at = head.find("\r\n", begin);
        const auto line = head.substr(begin, at - begin);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
        {
            continue;
        }
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char each)
                       { return static_cast<char>(std::tolower(each)); });
        const auto value = line.find_first_not_of(' ', colon + 1);
        result.headers[name] =
            value == std::string::npos ? "" : line.substr(value);
    }
    return result;
}

} // namespace

std::string message::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

std::string message::target() const
{
    const auto begin = start_line.find(' ') + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

int message::status() const
{
    return std::atoi(start_line.c_str() + start_line.find(' ') + 1);
}

connection::~connection()
{
    close();
}

connection::connection(connection&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)),
      buffer_(std::move(other.buffer_))
{
}

connection& connection::operator=(connection&& other) noexcept
{
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    buffer_ = std::move(other.buffer_);
    return *this;
}

connection connection::connect_to(const std::string& address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in peer = parse_address(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&peer),
                  sizeof peer) != 0)
    {
        ::close(descriptor);
        return connection(-1);
    }
    send_without_delay(descriptor);
    return connection(descriptor);
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty())
    {
        const auto sent =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::optional<message> connection::read_request()
{
    return read_message(false);
}

std::optional<message> connection::read_response(clock::time_point deadline)
{
    constexpr int first_final_status = 200;
    deadline_ = deadline;
    timed_out_ = false;
    auto result = read_message(true);
    while (result && result->status() < first_final_status)
    {
        result = read_message(true);
    }
    deadline_.reset();
    return result;
}

void connection::close()
{
    if (descriptor_ >= 0)
    {
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

std::optional<message> connection::read_message(bool is_response)
{
    std::size_t end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!fill())
        {
            return std::nullopt;
        }
        end = buffer_.find("\r\n\r\n");
    }
    message result = parse_head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    // An interim response ends with its head.
    if (is_response && result.status() < 200)
    {
        return result;
    }
    if (result.header("transfer-encoding") == "chunked")
    {
        return read_chunks(result) ? std::optional(std::move(result))
                                   : std::nullopt;
    }
    const auto length = static_cast<std::size_t>(
        std::atoll(result.header("content-length").c_str()));
    if (!fill_to(length))
    {
        return std::nullopt;
    }
    result.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return result;
}

bool connection::read_chunks(message& result)
{
    constexpr int hexadecimal = 16;
    std::size_t size = 1;
    while (size > 0)
    {
        std::size_t line = buffer_.find("\r\n");
        while (line == std::string::npos)
        {
            if (!fill())
            {
                return false;
            }
            line = buffer_.find("\r\n");
        }
        size = std::strtoul(buffer_.c_str(), nullptr, hexadecimal);
        if (!fill_to(line + 2 + size + 2))
        {
            return false;
        }
        result.body += buffer_.substr(line + 2, size);
        buffer_.erase(0, line + 2 + size + 2);
    }
    return true;
}

bool connection::fill_to(std::size_t size)
{
    while (buffer_.size() < size)
    {
        if (!fill())
        {
            return false;
        }
    }
    return true;
}

bool connection::fill()
{
    if (deadline_)
    {
        const auto left = std::chrono::ceil<milliseconds>(
            std::max(*deadline_ - clock::now(), clock::duration(0)));
        pollfd waiting{descriptor_, POLLIN, 0};
        if (::poll(&waiting, 1, static_cast<int>(left.count())) == 0)
        {
            timed_out_ = true;
            return false;
        }
    }
    char bytes[65536];
    const auto received = ::recv(descriptor_, bytes, sizeof bytes, 0);
    if (received <= 0)
    {
        return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(received));
    return true;
}

server::server(handler handle)
    : handle_(std::move(handle)),
      address_("127.0.0.1:" + std::to_string(free_port("127.0.0.1")))
{
    listen();
}

void server::crash()
{
    const std::lock_guard lock(mutex_);
    ::shutdown(descriptor_, SHUT_RDWR); // ends the accepting thread
    ::close(std::exchange(descriptor_, -1));
    for (const int each : connections_)
    {
        ::shutdown(each, SHUT_RDWR); // closed by its thread
    }
}

void server::recover()
{
    listen();
}

void server::listen()
{
    const std::lock_guard lock(mutex_);
    descriptor_ = listen_on(address_);
    std::thread(
        [this, listening = descriptor_]
        {
            int accepted = 0;
            while (accepted >= 0)
            {
                accepted = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted >= 0)
                {
                    send_without_delay(accepted);
                    std::thread([this, accepted] { serve(accepted); }).detach();
                }
            }
        })
        .detach();
}

void server::serve(int accepted)
{
    connection peer(accepted);
    {
        const std::lock_guard lock(mutex_);
        if (descriptor_ < 0)
        {
            return;
        }
        connections_.insert(accepted);
    }
    auto request = peer.read_request();
    while (request && handle_(peer, *request))
    {
        request = peer.read_request();
    }
    const std::lock_guard lock(mutex_);
    connections_.erase(accepted);
    peer.close();
}

std::string response(int status, const std::string& body,
                     const std::string& headers)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int free_port(const std::string& host)
{
    const int descriptor = listen_on(host + ":0");
    const int port = port_of(descriptor);
    ::close(descriptor);
    return port;
}

} // namespace review
