#include "request/prompt_work.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace mangolink
{
namespace
{

/// Number of servers in a report; few have long work of one process.
constexpr std::size_t max_reported_servers = 12;

/// Prompts of at least this size are told to others at once: shorter ones are
/// read before the others could act on it.
constexpr double min_told_tokens = 1000;

/// Size of a single prompt that others believe, relative to the usual one.
constexpr double max_told_prompt_ratio = 4;

/// A report that was not renewed for this time counts for nothing.
constexpr milliseconds max_report_age{1000};

/// Time after which an author that is silent is forgotten.
constexpr milliseconds author_lifetime{10'000};

/// A process reports at most this many prompts of the usual size for a server,
/// and altogether this multiple of what the median of the processes reports.
constexpr double max_prompts_per_report = 8;
constexpr double max_report_ratio = 4;

/// Processes whose reports must be known before they limit each other.
constexpr std::size_t min_authors_to_compare = 3;
constexpr double total_weight = 0.3;

/// While no first event has come, at least this fraction is unread.
constexpr double min_unread_fraction = 0.25;

/// Caches keep the prefixes that were used last; those of a process that uses
/// one less often than this may be evicted.
constexpr milliseconds cache_lifetime{30'000};
constexpr std::size_t max_cached_prefixes = 8192;

/// Rate that is assumed until some first events have come, and its bounds.
constexpr double initial_ms_per_token = 0.02;
constexpr double min_ms_per_token = 0.001;
constexpr double max_ms_per_token = 0.2;
constexpr double initial_tokens = 2000;
constexpr double initial_ms = 60;
constexpr double sample_weight = 0.01;
constexpr double size_weight = 0.02;

/// First events that take longer than expected by more than this say more about
/// the network or the server than about the rate.
constexpr precise_milliseconds max_deviation{300};

/// Work that nobody reported lasts about as long as that of one prompt.
constexpr precise_milliseconds delay_lifetime{1000};
constexpr precise_milliseconds max_delay{1000};
constexpr double delay_weight = 0.5;

std::uint64_t cache_key(std::uint64_t server, std::uint64_t prefix)
{
    // The finalizer of splitmix64.
    std::uint64_t key = server ^ (prefix + 0x9e3779b97f4a7c15U);
    key = (key ^ (key >> 30U)) * 0xbf58476d1ce4e5b9U;
    key = (key ^ (key >> 27U)) * 0x94d049bb133111ebU;
    return key ^ (key >> 31U);
}

} // namespace

prompt_work::prompt_work()
    : mean_tokens_(initial_tokens), mean_ms_(initial_ms),
      variance_(initial_tokens * initial_tokens),
      covariance_(initial_ms_per_token * variance_),
      ms_per_token_(initial_ms_per_token), typical_tokens_(initial_tokens)
{
}

bool prompt_work::is_cached(std::uint64_t server, std::uint64_t prefix,
                            boot_clock::time_point now) const
{
    const auto key = cache_key(server, prefix);
    if (!cached_bits_[key % cached_bits_.size()])
    {
        return false;
    }
    const auto found = cached_.find(key);
    return found != cached_.end() && now - found->second < cache_lifetime;
}

precise_milliseconds prompt_work::wait(std::uint64_t server,
                                       boot_clock::time_point now) const
{
    if (!server_bits_[server % server_bits_.size()])
    {
        return precise_milliseconds(0);
    }
    precise_milliseconds result = read_time(reported_tokens(server, now));
    const auto found = servers_.find(server);
    if (found != servers_.end())
    {
        result += read_time(own_tokens(found->second, now)) +
                  delay_of(found->second, now);
    }
    return result;
}

std::uint32_t prompt_work::running(std::uint64_t server) const
{
    if (!server_bits_[server % server_bits_.size()])
    {
        return 0;
    }
    const auto found = servers_.find(server);
    return found == servers_.end() ? 0 : found->second.running;
}

sent_prompt prompt_work::add(std::uint64_t server, const prompt_size& size,
                             bool cached, precise_milliseconds distance,
                             boot_clock::time_point now)
{
    sent_prompt result;
    result.server = server;
    result.prefix = size.prefix;
    result.certain = size.prefix == 0 || size.shared_tokens == 0 ||
                     is_cached(server, size.prefix, now);
    result.tokens =
        size.own_tokens + (cached || result.certain ? 0.0 : size.shared_tokens);
    result.sent = now;
    result.distance = distance;
    result.wait = wait(server, now);
    const double overhead_ms =
        std::max(0.0, mean_ms_ - ms_per_token_ * mean_tokens_);
    result.expected = result.wait + read_time(result.tokens) + distance +
                      precise_milliseconds(overhead_ms);
    typical_tokens_ += size_weight * (result.tokens - typical_tokens_);
    server_bits_.set(server % server_bits_.size());
    server_record& record = servers_[server];
    record.level_tokens = own_tokens(record, now) + result.tokens;
    record.level_time = now;
    record.sent_tokens += result.tokens;
    ++record.waiting;
    if (on_long_prompt_ && result.tokens >= min_told_tokens)
    {
        on_long_prompt_({server, static_cast<std::uint32_t>(result.tokens)});
    }
    return result;
}

void prompt_work::record_output(sent_prompt& prompt, boot_clock::time_point now)
{
    const auto found = servers_.find(prompt.server);
    if (found == servers_.end() || prompt.has_output)
    {
        return;
    }
    server_record& record = found->second;
    const precise_milliseconds time = now - prompt.sent;
    const auto error = std::min(time - prompt.expected, max_deviation * 2);
    record.delay = std::clamp(delay_of(record, now) + delay_weight * error,
                              precise_milliseconds(0), max_delay);
    record.delay_time = now;
    remove(prompt, now);
    prompt.has_output = true;
    ++record.running;
    if (prompt.certain)
    {
        learn_rate(prompt, time);
    }
    if (prompt.prefix != 0)
    {
        if (cached_.size() >= max_cached_prefixes)
        {
            cached_.clear();
        }
        const auto key = cache_key(prompt.server, prompt.prefix);
        cached_[key] = now;
        cached_bits_.set(key % cached_bits_.size());
    }
}

void prompt_work::remove(const sent_prompt& prompt, boot_clock::time_point now)
{
    const auto found = servers_.find(prompt.server);
    if (found == servers_.end())
    {
        return;
    }
    server_record& record = found->second;
    if (prompt.has_output)
    {
        record.running -= record.running > 0 ? 1 : 0;
        return;
    }
    const double level = own_tokens(record, now);
    record.waiting -= record.waiting > 0 ? 1 : 0;
    record.sent_tokens =
        record.waiting == 0 ? 0
                            : std::max(0.0, record.sent_tokens - prompt.tokens);
    record.level_tokens = std::min(level, record.sent_tokens);
    record.level_time = now;
}

std::vector<server_prompt_work>
prompt_work::report(boot_clock::time_point now) const
{
    std::vector<server_prompt_work> result;
    for (const auto& [server, record] : servers_)
    {
        const auto tokens = static_cast<std::uint32_t>(own_tokens(record, now));
        if (tokens > 0)
        {
            result.push_back({server, tokens});
        }
    }
    const auto count = std::min(result.size(), max_reported_servers);
    std::partial_sort(
        result.begin(), result.begin() + static_cast<std::ptrdiff_t>(count),
        result.end(),
        [](const auto& a, const auto& b) { return a.tokens > b.tokens; });
    result.resize(count);
    return result;
}

void prompt_work::merge(std::string_view author,
                        const std::vector<server_prompt_work>& work,
                        boot_clock::time_point now)
{
    const std::uint64_t id = stable_hash(author);
    const auto known = authors_.find(id);
    if (known == authors_.end() && work.empty())
    {
        return;
    }
    author_record& record =
        known == authors_.end() ? authors_[id] : known->second;
    for (const std::uint64_t server : record.servers)
    {
        remove_reported(id, server);
    }
    record.servers.clear();
    record.last = now;
    const double limit = max_prompts_per_report * typical_tokens_;
    double total = 0;
    for (const auto& entry : work)
    {
        total += entry.tokens;
    }
    record.total_tokens += total_weight * (total - record.total_tokens);
    const double trusted = trusted_fraction(total);
    for (const auto& entry : work)
    {
        if (record.servers.size() == max_reported_servers)
        {
            break;
        }
        record.servers.push_back(entry.server);
        server_bits_.set(entry.server % server_bits_.size());
        reported_[entry.server].push_back(
            {id, std::min(limit, entry.tokens * trusted), now});
    }
}

void prompt_work::add_reported(std::string_view author,
                               const server_prompt_work& work,
                               boot_clock::time_point now)
{
    const std::uint64_t id = stable_hash(author);
    author_record& record = authors_[id];
    record.last = now;
    if (record.servers.size() == max_reported_servers)
    {
        remove_reported(id, record.servers.front());
        record.servers.erase(record.servers.begin());
    }
    record.servers.push_back(work.server);
    server_bits_.set(work.server % server_bits_.size());
    const double limit = max_told_prompt_ratio * typical_tokens_;
    reported_[work.server].push_back(
        {id, std::min<double>(limit, work.tokens), now});
}

void prompt_work::remove_reported(std::uint64_t author, std::uint64_t server)
{
    const auto found = reported_.find(server);
    if (found == reported_.end())
    {
        return;
    }
    auto& parts = found->second;
    parts.erase(std::remove_if(parts.begin(), parts.end(),
                               [author](const reported_work& part)
                               { return part.author == author; }),
                parts.end());
    if (parts.empty())
    {
        reported_.erase(found);
    }
}

void prompt_work::expire(boot_clock::time_point now)
{
    absl::erase_if(servers_,
                   [now](const auto& entry)
                   {
                       const server_record& record = entry.second;
                       return record.waiting == 0 && record.running == 0 &&
                              now - record.delay_time > delay_lifetime;
                   });
    absl::erase_if(authors_, [now](const auto& entry)
                   { return now - entry.second.last > author_lifetime; });
    absl::erase_if(
        reported_,
        [now](auto& entry)
        {
            auto& parts = entry.second;
            parts.erase(
                std::remove_if(parts.begin(), parts.end(),
                               [now](const reported_work& part)
                               { return now - part.at > max_report_age; }),
                parts.end());
            return parts.empty();
        });
    absl::erase_if(cached_, [now](const auto& entry)
                   { return now - entry.second > cache_lifetime; });
    server_bits_.reset();
    cached_bits_.reset();
    for (const auto& [server, record] : servers_)
    {
        server_bits_.set(server % server_bits_.size());
    }
    for (const auto& [server, parts] : reported_)
    {
        server_bits_.set(server % server_bits_.size());
    }
    for (const auto& [key, time] : cached_)
    {
        cached_bits_.set(key % cached_bits_.size());
    }
}

double prompt_work::unread_tokens(boot_clock::time_point now) const
{
    double total = 0;
    for (const auto& [server, record] : servers_)
    {
        total += own_tokens(record, now);
    }
    return total;
}

double prompt_work::own_tokens(const server_record& record,
                               boot_clock::time_point now) const
{
    if (record.waiting == 0)
    {
        return 0;
    }
    const precise_milliseconds age = now - record.level_time;
    return std::max(record.level_tokens - age.count() / ms_per_token_,
                    record.sent_tokens * min_unread_fraction);
}

double prompt_work::reported_tokens(std::uint64_t server,
                                    boot_clock::time_point now) const
{
    const auto found = reported_.find(server);
    if (found == reported_.end())
    {
        return 0;
    }
    // Prompts of different processes are read one after the other.
    const double share =
        1.0 /
        static_cast<double>(std::max<std::size_t>(found->second.size(), 1));
    double tokens = 0;
    for (const auto& part : found->second)
    {
        const precise_milliseconds age = now - part.at;
        tokens += age > max_report_age
                      ? 0
                      : std::max(0.0, part.tokens -
                                          share * age.count() / ms_per_token_);
    }
    return tokens;
}

precise_milliseconds prompt_work::delay_of(const server_record& record,
                                           boot_clock::time_point now)
{
    const precise_milliseconds age = now - record.delay_time;
    return record.delay * std::max(0.0, 1 - age / delay_lifetime);
}

void prompt_work::learn_rate(const sent_prompt& prompt,
                             precise_milliseconds time)
{
    const auto base = prompt.expected - prompt.wait;
    const auto reading = std::clamp(time - prompt.wait, precise_milliseconds(0),
                                    base + max_deviation) -
                         prompt.distance;
    const double tokens = prompt.tokens - mean_tokens_;
    const double ms = reading.count() - mean_ms_;
    mean_tokens_ += sample_weight * tokens;
    mean_ms_ += sample_weight * ms;
    variance_ =
        (1 - sample_weight) * (variance_ + sample_weight * tokens * tokens);
    covariance_ =
        (1 - sample_weight) * (covariance_ + sample_weight * tokens * ms);
    ms_per_token_ = std::clamp(covariance_ / std::max(variance_, 1.0),
                               min_ms_per_token, max_ms_per_token);
}

double prompt_work::trusted_fraction(double total_tokens)
{
    totals_.clear();
    for (const auto& [id, record] : authors_)
    {
        totals_.push_back(record.total_tokens);
    }
    if (totals_.size() < min_authors_to_compare || total_tokens <= 0)
    {
        return 1;
    }
    const auto middle =
        totals_.begin() + static_cast<std::ptrdiff_t>(totals_.size() / 2);
    std::nth_element(totals_.begin(), middle, totals_.end());
    const double allowed =
        max_report_ratio * std::max(*middle, typical_tokens_);
    return std::min(1.0, allowed / total_tokens);
}

} // namespace mangolink
