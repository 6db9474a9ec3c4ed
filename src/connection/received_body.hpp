#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/optional/optional.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mangolink
{

/// Appends received bytes. A large string grows in steps of a fixed size, so
/// that little memory is allocated in advance.
inline void append_received(std::string& to, std::string_view bytes)
{
    constexpr std::size_t max_growth = 1024 * 1024;
    const std::size_t size = to.size() + bytes.size();
    if (size > to.capacity())
    {
        to.reserve(std::max(size, to.capacity() +
                                      std::min(to.capacity(), max_growth)));
    }
    to.append(bytes);
}

/// HTTP body in memory, for parsers. Unlike http::string_body it allocates
/// nothing for the length that a message declares, only for bytes that have
/// arrived.
struct received_body final
{
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    /// Stores the parsed parts of a body; used by the parser.
    class reader final
    {
    public:
        template <bool is_request, class Fields>
        explicit reader(boost::beast::http::header<is_request, Fields>&,
                        value_type& body)
            : body_(body)
        {
        }

        static void init(const boost::optional<std::uint64_t>&,
                         boost::beast::error_code& error)
        {
            error = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& error)
        {
            error = {};
            std::size_t count = 0;
            for (const boost::asio::const_buffer part :
                 boost::beast::buffers_range_ref(buffers))
            {
                append_received(body_, {static_cast<const char*>(part.data()),
                                        part.size()});
                count += part.size();
            }
            return count;
        }

        static void finish(boost::beast::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

} // namespace mangolink
