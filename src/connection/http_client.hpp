#pragma once

#include "base/clock.hpp"
#include "connection/http_message.hpp"

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace mangolink
{

/// An HTTP request to send.
struct http_call final
{
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers{};
    std::string body{};
    milliseconds limit{5000};
};

/// The response; status is 0 when none was received.
struct http_result final
{
    std::uint32_t status = 0;
    std::vector<http_header> headers;
    std::string body;
    std::string error; ///< why there is no response
};

/// Blocking HTTP client that reuses its connection. Used by one thread.
class http_client final
{
public:
    http_client();
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and waits for the complete response.
    http_result call(const http_call& request);

    /// Cancels a call in progress on another thread, and all later ones.
    void abort() { aborted_ = true; }

private:
    static std::size_t append_body(char* bytes, std::size_t size,
                                   std::size_t count, void* result);
    static std::size_t append_header(char* bytes, std::size_t size,
                                     std::size_t count, void* result);
    static int check_abort(void* self, std::int64_t, std::int64_t, std::int64_t,
                           std::int64_t);

    void* easy_;
    std::atomic<bool> aborted_{false};
};

} // namespace mangolink
