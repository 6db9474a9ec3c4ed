#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mangolink
{

/// Settings of a router socket.
struct peer_router_settings final
{
    std::string route;       ///< own ZeroMQ routing id; unique per process
    int send_limit = 10'000; ///< most queued messages to one peer
    int receive_limit = 10'000;
    std::int64_t max_message = 4 * 1024 * 1024; ///< bytes
};

/// A message with the routing id of its sender.
struct routed_message final
{
    std::string route;
    std::string bytes;
};

/// ZeroMQ ROUTER socket whose send fails if the peer is unknown or its queue is
/// full.
///
/// A successful send proves neither that the peer received the message nor that
/// it did not; a failed send proves that it never will. Used by one thread.
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

    /// Connects to "host:port" and assigns the peer this routing id.
    void connect(const std::string& address, const std::string& route);

    /// Closes the connection to the address.
    void disconnect(const std::string& address);

    /// Queues a message for sending; returns false if it was not queued.
    bool send(const std::string& route, std::string_view bytes);

    /// Returns the next received message, or nothing if there is none.
    std::optional<routed_message> receive();

    /// Returns the ZeroMQ socket, to be polled on the owner's thread.
    void* socket() const { return socket_; }

    /// Return ZMQ_FD and whether a message can be received now. The descriptor
    /// is edge-triggered: receive until nothing is left before waiting on it.
    int descriptor() const;
    bool readable() const;

    /// Return the payload bytes sent and received so far, without the routing
    /// ids and the framing of the transport. Thread-safe.
    std::uint64_t sent_bytes() const { return sent_bytes_; }
    std::uint64_t received_bytes() const { return received_bytes_; }

private:
    void* context_ = nullptr;
    void* socket_ = nullptr;
    std::atomic<std::uint64_t> sent_bytes_{0};
    std::atomic<std::uint64_t> received_bytes_{0};
};

} // namespace mangolink
