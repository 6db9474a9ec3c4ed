#include "version/audit_trail.hpp"

#include "base/log.hpp"

namespace mangolink
{
namespace
{

constexpr std::size_t max_records = 1000;

} // namespace

void audit_trail::record(audit_event event)
{
    log_notice("audit", "Change recorded.",
               {{"action", event.action},
                {"number", std::to_string(event.position.number)},
                {"digest", std::to_string(event.position.digest)},
                {"author", event.author},
                {"detail", event.detail}});
    const std::lock_guard lock(mutex_);
    records_.push_back({std::chrono::system_clock::now(), std::move(event)});
    if (records_.size() > max_records)
    {
        records_.pop_front();
    }
}

std::vector<audit_record> audit_trail::records() const
{
    const std::lock_guard lock(mutex_);
    return {records_.begin(), records_.end()};
}

} // namespace mangolink
