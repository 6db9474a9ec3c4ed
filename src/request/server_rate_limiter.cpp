#include "request/server_rate_limiter.hpp"

#include "base/hash.hpp"
#include "process/backend_server.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// A server that takes less than this, or nothing, is asked so often whether
/// its limit still holds.
constexpr double min_per_second = 0.1;

/// Part of the rate of a cold server that is used, as the processes may
/// disagree about their number for a moment.
constexpr double cold_usable_fraction = 0.85;

/// Time from the start of a process until it has heard of the others.
constexpr milliseconds settling_time{2000};

/// A longer time without any call means that the process was suspended.
constexpr milliseconds max_pause{1000};

} // namespace

server_rate_limiter::server_rate_limiter(std::string self)
    : self_(std::move(self)), shares_(self_)
{
}

server_limit_change server_rate_limiter::record_answer(
    const backend_server& server, double per_second,
    boot_clock::time_point request_sent, boot_clock::time_point now)
{
    const bool limited = per_second < no_rate_limit;
    return table_.add(
        {server.start_hash(), per_second, limited ? now : request_sent}, true);
}

server_limit_change server_rate_limiter::merge(const server_limit_news& news)
{
    return table_.add(news, false);
}

std::optional<double>
server_rate_limiter::limit_of(const backend_server& server) const
{
    return limit_at(server, last_time_);
}

bool server_rate_limiter::is_cold_limited(const backend_server& server,
                                          boot_clock::time_point now) const
{
    return server.is_cold(now) && cold_rates_.contains(server.service);
}

std::optional<double>
server_rate_limiter::limit_at(const backend_server& server,
                              boot_clock::time_point now) const
{
    const auto named =
        table_.limited() == 0 ? std::nullopt : table_.find(server.start_hash());
    if (!is_cold_limited(server, now))
    {
        return named;
    }
    const double cold = cold_rates_.at(server.service);
    return std::min(named.value_or(cold), cold);
}

std::optional<send_permit>
server_rate_limiter::acquire(const backend_server& server, sender_role role,
                             boot_clock::time_point now)
{
    auto* entry = find_entry(server, role, now);
    if (entry == nullptr)
    {
        return send_permit::unlimited();
    }
    if (!entry->bucket.try_take())
    {
        return std::nullopt;
    }
    return send_permit(
        [this, start = server.start_hash()]
        {
            const auto found = entries_.find(start);
            if (found != entries_.end())
            {
                found->second.bucket.put_back();
            }
        });
}

bool server_rate_limiter::may_send(const backend_server& server,
                                   sender_role role, boot_clock::time_point now)
{
    const auto* entry = find_entry(server, role, now);
    return entry == nullptr || entry->bucket.has_token();
}

std::optional<milliseconds> server_rate_limiter::time_until_permit(
    const backend_server& server, sender_role role, boot_clock::time_point now)
{
    const auto* entry = find_entry(server, role, now);
    if (entry == nullptr)
    {
        return milliseconds(0);
    }
    if (entry->share.burst == 0)
    {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(
        entry->bucket.time_until_token(entry->share.per_second));
}

double server_rate_limiter::expected_permits(const backend_server& server,
                                             milliseconds time,
                                             boot_clock::time_point now)
{
    const auto* entry = find_entry(server, sender_role::chosen, now);
    const std::chrono::duration<double> duration = time;
    return entry == nullptr ? 0
                            : entry->bucket.tokens() +
                                  entry->share.per_second * duration.count();
}

limit_share server_rate_limiter::share_of(const backend_server& server,
                                          sender_role role,
                                          boot_clock::time_point now)
{
    const auto* entry = find_entry(server, role, now);
    return entry == nullptr ? limit_share{} : entry->share;
}

void server_rate_limiter::update(const std::vector<limit_process>& alive,
                                 boot_clock::time_point now)
{
    check_time(now);
    demand_.update(now);
    shares_.set_demand(self_, demand_.current());
    shares_.update(alive, now);
    table_.expire(now);
    absl::erase_if(
        entries_, [this, now](const auto& pair)
        { return !table_.find(pair.first) && pair.second.cold_until <= now; });
}

server_rate_limiter::server_entry*
server_rate_limiter::find_entry(const backend_server& server, sender_role role,
                                boot_clock::time_point now)
{
    check_time(now);
    const auto limit = limit_at(server, now);
    if (!limit)
    {
        return nullptr;
    }
    const auto start = server.start_hash();
    const double per_second = std::max(*limit, min_per_second);
    const auto [found, added] =
        entries_.try_emplace(start, server_entry{token_bucket(0, now)});
    server_entry& entry = found->second;
    entry.cold_until = server.cold_until;
    entry.bucket.fill(entry.share.per_second, entry.share.burst, now);
    const bool settled = now >= *first_time_ + settling_time;
    if (added || entry.per_second != per_second || entry.role != role ||
        entry.settled != settled || entry.shares_version != shares_.version())
    {
        entry.share = is_cold_limited(server, now)
                          ? make_cold_share(start, role, per_second, settled)
                          : make_share(server, role, per_second);
        entry.per_second = per_second;
        entry.role = role;
        entry.settled = settled;
        entry.shares_version = shares_.version();
        entry.bucket.fill(0, entry.share.burst, now); // may be smaller now
    }
    return &entry;
}

limit_share server_rate_limiter::make_share(const backend_server& server,
                                            sender_role role,
                                            double per_second) const
{
    return role == sender_role::chosen
               ? shares_.share(server.start_hash(), stable_hash(server.service),
                               per_second)
               : shares_.owner_share(role == sender_role::owner, per_second);
}

limit_share server_rate_limiter::make_cold_share(std::uint64_t server_start,
                                                 sender_role role,
                                                 double per_second,
                                                 bool settled) const
{
    if (!settled)
    {
        return {};
    }
    const double usable = per_second * cold_usable_fraction;
    return role == sender_role::chosen
               ? shares_.strict_share(server_start, usable)
               : shares_.owner_share(role == sender_role::owner, usable);
}

void server_rate_limiter::check_time(boot_clock::time_point now)
{
    first_time_ = first_time_.value_or(now);
    if (now - last_time_ > max_pause)
    {
        for (auto& [start, entry] : entries_)
        {
            entry.bucket.fill(0, entry.share.burst, now);
            entry.bucket.clear();
        }
    }
    last_time_ = std::max(last_time_, now);
}

} // namespace mangolink
