#include "http_peer.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <stdexcept>

namespace review
{
namespace
{

sockaddr_in loopback_address(const std::string& host, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    ::inet_pton(AF_INET, host.c_str(), &result.sin_addr);
    return result;
}

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? ""
                                      : text.substr(first, last - first + 1);
}

std::string word(const std::string& line, std::size_t number)
{
    std::size_t at = 0;
    for (std::size_t i = 0; i < number && at != std::string::npos; ++i)
    {
        at = line.find(' ', at);
        at = at == std::string::npos ? at : at + 1;
    }
    return at == std::string::npos ? ""
                                   : line.substr(at, line.find(' ', at) - at);
}

} // namespace

std::string http_message::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

std::string http_message::method() const
{
    return word(first_line, 0);
}

std::string http_message::target() const
{
    return word(first_line, 1);
}

int http_message::status() const
{
    return std::atoi(word(first_line, 1).c_str());
}

http_peer::http_peer(int socket) : socket_(socket)
{
}

http_peer::http_peer(const std::string& address)
{
    const auto colon = address.find(':');
    const auto to = loopback_address(
        address.substr(0, colon),
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&to),
                  sizeof(to)) != 0)
    {
        close();
    }
}

http_peer::~http_peer()
{
    close();
}

bool http_peer::send(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto count = ::send(socket_, bytes.data() + sent,
                                  bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::optional<http_message> http_peer::read(milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    auto line = take_line(until);
    if (!line)
    {
        return std::nullopt;
    }
    http_message message;
    message.first_line = *line;
    for (line = take_line(until); line && !line->empty();
         line = take_line(until))
    {
        const auto colon = line->find(':');
        std::string name = line->substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c)
                       { return static_cast<char>(std::tolower(c)); });
        message.headers[name] =
            colon == std::string::npos ? "" : trimmed(line->substr(colon + 1));
    }
    if (!line)
    {
        return message;
    }
    const auto length = message.header("content-length");
    if (message.header("transfer-encoding") == "chunked")
    {
        message.complete = read_chunks(message.body, until);
    }
    else
    {
        message.complete =
            length.empty() || take(std::stoul(length), message.body, until);
    }
    return message;
}

bool http_peer::closed_by_peer() const
{
    char byte = 0;
    const auto got = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void http_peer::close()
{
    if (socket_ >= 0)
    {
        ::close(socket_);
        socket_ = -1;
    }
}

bool http_peer::receive(steady_time until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(
        until - std::chrono::steady_clock::now());
    pollfd wanted{socket_, POLLIN, 0};
    if (socket_ < 0 || left.count() <= 0 ||
        ::poll(&wanted, 1, static_cast<int>(left.count())) <= 0)
    {
        return false;
    }
    std::array<char, 16384> bytes{};
    const auto count = ::recv(socket_, bytes.data(), bytes.size(), 0);
    if (count > 0)
    {
        buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return count > 0;
}

std::optional<std::string> http_peer::take_line(steady_time until)
{
    auto end = buffer_.find("\r\n");
    while (end == std::string::npos)
    {
        if (!receive(until))
        {
            return std::nullopt;
        }
        end = buffer_.find("\r\n");
    }
    std::string line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return line;
}

bool http_peer::take(std::size_t size, std::string& target, steady_time until)
{
    while (buffer_.size() < size)
    {
        if (!receive(until))
        {
            target += buffer_;
            buffer_.clear();
            return false;
        }
    }
    target += buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
}

bool http_peer::read_chunks(std::string& body, steady_time until)
{
    constexpr int hexadecimal = 16;
    while (true)
    {
        const auto line = take_line(until);
        if (!line)
        {
            return false;
        }
        const auto size = std::stoul(*line, nullptr, hexadecimal);
        if (size > 0 && !take(size, body, until))
        {
            return false;
        }
        if (!take_line(until))
        {
            return false;
        }
        if (size == 0)
        {
            return true;
        }
    }
}

int listen_on_free_port(std::uint16_t& port)
{
    constexpr int backlog = 128;
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback_address("127.0.0.1", 0);
    socklen_t size = sizeof(address);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(listener, backlog) != 0 ||
        ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) !=
            0)
    {
        throw std::runtime_error("cannot listen on a free port");
    }
    port = ntohs(address.sin_port);
    return listener;
}

} // namespace review
