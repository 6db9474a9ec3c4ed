#pragma once

// clang-format off: Boost 1.74 uses std::exchange in its coroutine headers
// without including <utility>, which must therefore come first.
#include <utility>
// clang-format on

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace mangolink
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

/// HTTP request and response with the whole body in memory.
using text_request = http::request<http::string_body>;
using text_response = http::response<http::string_body>;

/// Completion token that stores the error of an operation instead of throwing
/// it from the awaiting coroutine.
inline auto redirect_to(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

} // namespace mangolink
