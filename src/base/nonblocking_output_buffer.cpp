#include "base/nonblocking_output_buffer.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <ostream>
#include <string_view>
#include <utility>

namespace mangolink
{

nonblocking_output_buffer::nonblocking_output_buffer(std::ostream& stream,
                                                     int descriptor,
                                                     std::size_t capacity)
    : stream_(stream), previous_(stream.rdbuf(this)), descriptor_(descriptor),
      capacity_(capacity)
{
}

nonblocking_output_buffer::~nonblocking_output_buffer()
{
    flush();
    stream_.rdbuf(previous_);
}

void nonblocking_output_buffer::flush()
{
    while (!buffered_.empty())
    {
        pollfd ready{descriptor_, POLLOUT, 0};
        if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0)
        {
            return;
        }
        // A writable pipe accepts PIPE_BUF bytes without blocking.
        const auto size = std::min<std::size_t>(buffered_.size(), PIPE_BUF);
        const auto written = ::write(descriptor_, buffered_.data(), size);
        if (written <= 0)
        {
            return;
        }
        buffered_.erase(0, static_cast<std::size_t>(written));
    }
}

std::uint64_t nonblocking_output_buffer::take_dropped_count()
{
    return std::exchange(dropped_, 0);
}

std::streamsize nonblocking_output_buffer::xsputn(const char* bytes,
                                                  std::streamsize count)
{
    std::string_view rest(bytes, static_cast<std::size_t>(count));
    while (!rest.empty())
    {
        const auto end = rest.find('\n');
        const auto line =
            end == std::string_view::npos ? rest : rest.substr(0, end + 1);
        rest.remove_prefix(line.size());
        if (!dropping_ && buffered_.size() + line.size() > capacity_)
        {
            dropping_ = true;
            ++dropped_;
        }
        if (!dropping_)
        {
            buffered_ += line;
        }
        dropping_ = dropping_ && end == std::string_view::npos;
    }
    return count;
}

nonblocking_output_buffer::int_type
nonblocking_output_buffer::overflow(int_type byte)
{
    const char value = traits_type::to_char_type(byte);
    xsputn(&value, 1);
    return byte;
}

} // namespace mangolink
