#include "connection/wakeup.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>

namespace mangolink
{

wakeup::wakeup() : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (descriptor_ < 0)
    {
        throw std::system_error(errno, std::generic_category(), "eventfd");
    }
}

wakeup::~wakeup()
{
    close(descriptor_);
}

void wakeup::signal()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written =
        ::write(descriptor_, &one, sizeof one);
}

void wakeup::clear()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto taken =
        ::read(descriptor_, &count, sizeof count);
}

} // namespace mangolink
