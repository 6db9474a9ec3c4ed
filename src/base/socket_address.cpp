#include "base/socket_address.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace mangolink
{

std::optional<socket_address> socket_address::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    socket_address result;
    result.host = std::string(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    const char* end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, result.port);
    in_addr unused{};
    // inet_pton() would read up to a NUL only.
    if (digits.empty() || result.host.find('\0') != std::string::npos ||
        read.ec != std::errc() || read.ptr != end ||
        inet_pton(AF_INET, result.host.c_str(), &unused) != 1)
    {
        return std::nullopt;
    }
    return result;
}

sockaddr_in socket_address::native() const
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &result.sin_addr);
    return result;
}

std::string socket_address::text() const
{
    return host + ":" + std::to_string(port);
}

} // namespace mangolink
