#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mangolink
{

/// Limits of a router socket.
struct peer_router_settings final
{
    std::string route;       ///< own name at the peers; unique per process
    int send_limit = 10'000; ///< messages waiting for one peer
    int receive_limit = 10'000;
    std::int64_t max_message = 4 * 1024 * 1024; ///< bytes
};

/// A message with the route of its sender.
struct routed_message final
{
    std::string route;
    std::string bytes;
};

/// ZeroMQ ROUTER socket that refuses to send to an unknown or full peer.
///
/// An accepted send proves neither that the peer got the message nor that it
/// did not; a refused send proves that it never will. Belongs to one thread.
class peer_router final
{
public:
    explicit peer_router(const peer_router_settings& settings);
    ~peer_router();

    peer_router(const peer_router&) = delete;
    peer_router& operator=(const peer_router&) = delete;

    /// Listens on "host:port"; throws std::runtime_error.
    void bind(const std::string& address);

    /// Returns the "host:port" that was bound.
    std::string bound_address() const;

    /// Opens a link to "host:port" under a route of the caller's choice.
    void connect(const std::string& address, const std::string& route);

    /// Closes the link.
    void disconnect(const std::string& address);

    /// Hands a message to the transport; false when it was not taken.
    bool send(const std::string& route, std::string_view bytes);

    /// Returns the next message, or nothing when none is there now.
    std::optional<routed_message> receive();

    /// Returns the ZeroMQ socket, for a poll of the owner's thread.
    void* socket() const { return socket_; }

    /// Returns ZMQ_FD and whether messages wait now. The descriptor signals
    /// changes only: receive until nothing is left before waiting for it.
    int descriptor() const;
    bool readable() const;

    /// Return the bytes of messages and routes handed over and received so
    /// far, without the framing of the transport. Any thread.
    std::uint64_t sent_bytes() const { return sent_bytes_; }
    std::uint64_t received_bytes() const { return received_bytes_; }

private:
    void* context_ = nullptr;
    void* socket_ = nullptr;
    std::atomic<std::uint64_t> sent_bytes_{0};
    std::atomic<std::uint64_t> received_bytes_{0};
};

} // namespace mangolink
