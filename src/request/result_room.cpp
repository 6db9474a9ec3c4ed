#include "request/result_room.hpp"

#include <algorithm>

namespace mangolink
{

void result_room::configure(std::uint64_t room, milliseconds lifetime)
{
    room_ = room;
    lifetime_ = lifetime;
}

void result_room::unreserve(std::uint64_t bytes)
{
    reserved_ -= std::min(reserved_, bytes);
}

void result_room::keep(const std::string& handle, std::uint64_t bytes,
                       boot_clock::time_point now)
{
    if (results_.emplace(handle, bytes).second)
    {
        kept_ += bytes;
        by_age_.push_back({handle, now + lifetime_});
    }
}

void result_room::release(const std::string& handle)
{
    const auto found = results_.find(handle);
    if (found != results_.end())
    {
        kept_ -= found->second;
        results_.erase(found);
    }
}

void result_room::restarted()
{
    results_.clear();
    by_age_.clear();
    kept_ = 0;
    foreign_ = 0;
}

void result_room::observe_free(std::uint64_t bytes, boot_clock::time_point now)
{
    const std::uint64_t known = reserved_ + kept_ + bytes;
    foreign_ = known < room_ ? room_ - known : 0;
    observed_ = now;
}

std::uint64_t result_room::foreign(boot_clock::time_point now) const
{
    // Such results end one after the other over a lifetime.
    const auto age = now - observed_;
    if (foreign_ == 0 || age >= lifetime_)
    {
        return 0;
    }
    const double left = 1 - std::chrono::duration<double>(age) /
                                std::chrono::duration<double>(lifetime_);
    return static_cast<std::uint64_t>(static_cast<double>(foreign_) * left);
}

std::uint64_t result_room::free(boot_clock::time_point now)
{
    while (!by_age_.empty() && by_age_.front().until <= now)
    {
        release(by_age_.front().handle);
        by_age_.pop_front();
    }
    const std::uint64_t used = reserved_ + kept_ + foreign(now);
    return used < room_ ? room_ - used : 0;
}

} // namespace mangolink
