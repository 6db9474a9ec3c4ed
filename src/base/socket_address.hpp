#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace mangolink
{

/// IPv4 address and port of a TCP socket.
struct socket_address final
{
    std::string host;
    std::uint16_t port = 0;

    /// Parses "127.0.0.1:7000"; returns nothing for text of another form.
    static std::optional<socket_address> parse(std::string_view text);

    /// Returns the address as used by the socket system calls.
    sockaddr_in native() const;

    std::string text() const;

    friend bool operator==(const socket_address&,
                           const socket_address&) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const socket_address& address)
    {
        return Hash::combine(std::move(state), address.host, address.port);
    }
};

} // namespace mangolink
