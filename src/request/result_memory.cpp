#include "request/result_memory.hpp"

#include <algorithm>

namespace mangolink
{

void result_memory::configure(std::uint64_t capacity, milliseconds lifetime)
{
    capacity_ = capacity;
    lifetime_ = lifetime;
}

void result_memory::cancel_reservation(std::uint64_t bytes)
{
    reserved_ -= std::min(reserved_, bytes);
}

void result_memory::add_result(const std::string& handle, std::uint64_t bytes,
                               boot_clock::time_point now)
{
    if (results_.emplace(handle, bytes).second)
    {
        tracked_ += bytes;
        by_expiry_.push_back({handle, now + lifetime_});
    }
}

void result_memory::release(const std::string& handle)
{
    const auto found = results_.find(handle);
    if (found != results_.end())
    {
        tracked_ -= found->second;
        results_.erase(found);
    }
}

void result_memory::server_restarted()
{
    results_.clear();
    by_expiry_.clear();
    tracked_ = 0;
    untracked_ = 0;
}

void result_memory::report_free(std::uint64_t bytes, boot_clock::time_point now)
{
    const std::uint64_t known = reserved_ + tracked_ + bytes;
    untracked_ = known < capacity_ ? capacity_ - known : 0;
    reported_at_ = now;
}

std::uint64_t result_memory::untracked(boot_clock::time_point now) const
{
    // Assumes that untracked results expire evenly over one lifetime.
    const auto age = now - reported_at_;
    if (untracked_ == 0 || age >= lifetime_)
    {
        return 0;
    }
    const double left = 1 - std::chrono::duration<double>(age) /
                                std::chrono::duration<double>(lifetime_);
    return static_cast<std::uint64_t>(static_cast<double>(untracked_) * left);
}

std::uint64_t result_memory::free(boot_clock::time_point now)
{
    while (!by_expiry_.empty() && by_expiry_.front().expires_at <= now)
    {
        release(by_expiry_.front().handle);
        by_expiry_.pop_front();
    }
    const std::uint64_t used = reserved_ + tracked_ + untracked(now);
    return used < capacity_ ? capacity_ - used : 0;
}

} // namespace mangolink
