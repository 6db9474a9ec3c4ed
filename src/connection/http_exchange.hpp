#pragma once

#include "connection/http_message.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

struct MHD_Connection;
struct MHD_Response;

namespace mangolink
{

/// One request and its response, which any thread may send at any time.
///
/// Call either respond() once, or begin_stream(), write() any number of times
/// and finish(). After the caller has disconnected, these do nothing.
class http_exchange final : public std::enable_shared_from_this<http_exchange>
{
public:
    using disconnect_handler = std::function<void()>;

    explicit http_exchange(MHD_Connection* connection);

    const http_request& request() const { return request_; }

    /// Returns whether the body exceeded the server's limit; the body is then
    /// empty.
    bool too_large() const { return too_large_; }

    /// Sends a complete response.
    void respond(http_response response);

    /// Starts a streamed response; the body of `head` is its first part.
    void begin_stream(http_response head);

    /// Appends to the body of a streamed response.
    void write(std::string_view bytes);

    /// Completes the streamed response.
    void finish();

    /// Sets a handler that is called once, on a thread of the server, if the
    /// caller disconnects before the end of the response.
    void set_disconnect_handler(disconnect_handler action);

private:
    friend class http_server;

    enum class phase
    {
        receiving,
        waiting, ///< for the response
        answered,
        closed
    };

    /// Queues the response if there is one, else suspends the connection.
    int queue_or_suspend();
    int queue_response();
    void resume();
    void close(bool completed);
    std::ptrdiff_t read_stream(char* buffer, std::size_t max_size);
    MHD_Response* make_response();

    static std::ptrdiff_t read_callback(void* self, std::uint64_t position,
                                        char* buffer, std::size_t max_size);
    static void free_callback(void* self);

    MHD_Connection* connection_;
    http_request request_;
    std::size_t received_ = 0;
    bool too_large_ = false;

    std::mutex mutex_;
    phase phase_ = phase::receiving;
    bool suspended_ = false;
    bool streaming_ = false;
    bool finished_ = false;
    std::optional<http_response> response_;
    std::string pending_; ///< stream bytes not yet read by libmicrohttpd
    disconnect_handler on_disconnect_;
};

} // namespace mangolink
