#include "process/server_limit_table.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

constexpr std::size_t max_entries = 4096;

/// Number of servers in a message: with recent news, and others in turn, by
/// which a process that has started learns the limits.
constexpr std::size_t max_recent = 32;
constexpr std::size_t max_others = 32;

/// News are repeated for this time, as messages may be lost.
constexpr milliseconds repeat_time{1000};

/// The end of a limit is kept so that older news of the limit do not return.
constexpr milliseconds end_lifetime{60'000};

/// A limit of which nobody has heard for this time belongs to a server that is
/// gone.
constexpr milliseconds limit_lifetime{900'000};

bool is_limit(const server_limit_news& news)
{
    return news.per_second < no_rate_limit;
}

} // namespace

server_limit_change server_limit_table::add(const server_limit_news& news,
                                            bool first_hand)
{
    const bool is_new = !entries_.contains(news.server_start);
    if (is_new && !is_limit(news))
    {
        return server_limit_change::none;
    }
    if (is_new && entries_.size() >= max_entries)
    {
        remove_oldest();
    }
    entry& known = entries_[news.server_start];
    if (!is_new && news.at <= known.news.at)
    {
        return server_limit_change::none;
    }
    const double before = is_new ? no_rate_limit : known.news.per_second;
    const bool had_limit = before < no_rate_limit;
    known.news = news;
    if (first_hand)
    {
        known.first_hand_at = news.at;
    }
    limited_ += is_limit(news) ? 1 : 0;
    limited_ -= had_limit ? 1 : 0;
    return before == news.per_second ? server_limit_change::none
           : !is_limit(news)         ? server_limit_change::ended
           : had_limit               ? server_limit_change::changed
                                     : server_limit_change::named;
}

std::optional<double> server_limit_table::find(std::uint64_t server_start) const
{
    if (limited_ == 0)
    {
        return std::nullopt;
    }
    const auto found = entries_.find(server_start);
    return found != entries_.end() && is_limit(found->second.news)
               ? std::optional(found->second.news.per_second)
               : std::nullopt;
}

std::vector<server_limit_news>
server_limit_table::report(bool all, boot_clock::time_point now)
{
    std::vector<server_limit_news> recent;
    std::vector<server_limit_news> others;
    for (const auto& [start, known] : entries_)
    {
        const bool is_recent = known.first_hand_at == known.news.at &&
                               now - known.news.at <= repeat_time;
        (is_recent ? recent : others).push_back(known.news);
    }
    std::sort(recent.begin(), recent.end(),
              [](const auto& a, const auto& b) { return a.at > b.at; });
    recent.resize(std::min(recent.size(), max_recent));
    if (!all)
    {
        return recent;
    }
    // In the order of their starts, after the last one reported.
    const auto rank = [this](const server_limit_news& news)
    { return news.server_start - last_reported_ - 1; };
    std::sort(others.begin(), others.end(),
              [&rank](const auto& a, const auto& b)
              { return rank(a) < rank(b); });
    others.resize(std::min(others.size(), max_others));
    if (!others.empty())
    {
        last_reported_ = others.back().server_start;
    }
    recent.insert(recent.end(), others.begin(), others.end());
    return recent;
}

void server_limit_table::expire(boot_clock::time_point now)
{
    absl::erase_if(entries_,
                   [this, now](const auto& pair)
                   {
                       const auto& news = pair.second.news;
                       const bool limit = is_limit(news);
                       const bool expired =
                           now - news.at >
                           (limit ? limit_lifetime : end_lifetime);
                       limited_ -= expired && limit ? 1 : 0;
                       return expired;
                   });
}

std::vector<server_limit_news> server_limit_table::limits() const
{
    std::vector<server_limit_news> result;
    for (const auto& [start, known] : entries_)
    {
        if (is_limit(known.news))
        {
            result.push_back(known.news);
        }
    }
    return result;
}

void server_limit_table::remove_oldest()
{
    const auto oldest =
        std::min_element(entries_.begin(), entries_.end(),
                         [](const auto& a, const auto& b)
                         { return a.second.news.at < b.second.news.at; });
    limited_ -= is_limit(oldest->second.news) ? 1 : 0;
    entries_.erase(oldest);
}

} // namespace mangolink
