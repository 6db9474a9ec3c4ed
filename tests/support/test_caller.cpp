#include "support/test_caller.hpp"

#include "connection/socket_state.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace mangolink::test
{

test_caller::test_caller(const socket_address& address) : socket_(io_)
{
    socket_.connect({asio::ip::make_address(address.host), address.port});
}

bool test_caller::send(const std::string& bytes)
{
    error_code error;
    asio::write(socket_, asio::buffer(bytes), error);
    return !error;
}

std::optional<text_response>
test_caller::send_request(const text_request& request, milliseconds limit)
{
    error_code error;
    text_request copy = request;
    copy.prepare_payload();
    http::write(socket_, copy, error);
    return error ? std::nullopt : read_answer(limit);
}

std::optional<text_response> test_caller::read_answer(milliseconds limit)
{
    http::response_parser<http::string_body> parser;
    bool complete = false;
    http::async_read(socket_, buffer_, parser,
                     [&complete](const error_code& error, std::size_t)
                     { complete = !error; });
    io_.restart();
    io_.run_for(limit);
    if (!complete)
    {
        close();
        io_.restart();
        io_.run();
        partial_body_ = parser.get().body();
        return std::nullopt;
    }
    return parser.release();
}

bool test_caller::closes_within(milliseconds limit)
{
    bool readable_now = false;
    socket_.async_wait(tcp::socket::wait_read,
                       [&readable_now](const error_code&)
                       { readable_now = true; });
    io_.restart();
    io_.run_for(limit);
    const bool closed = readable_now && peer_has_closed(socket_);
    error_code ignored; // ends a wait that refers to this function
    socket_.cancel(ignored);
    io_.restart();
    io_.poll();
    return closed;
}

void test_caller::close()
{
    close_socket(socket_);
}

} // namespace mangolink::test
