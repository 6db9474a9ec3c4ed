#include "request/prompt_quarantine.hpp"

#include "request/prompt_parts.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mangolink
{
namespace
{

/// Crashes before a part is quarantined, and the numbers if servers have given
/// output or completed answers for it before. At most three requests may reach
/// servers long after the fifth crash.
constexpr std::size_t min_crashes = 3;
constexpr std::size_t min_crashes_if_sound = 5;
constexpr std::size_t min_cuts_if_sound = 7;

/// Requests are still sent to a server for up to this time after its end.
constexpr milliseconds removal_time{4000};

/// Number of crashes remembered of a part.
constexpr std::size_t max_crashes = 16;

constexpr std::size_t max_records = 1024;

/// Ages grow by the time that reports are under way.
constexpr milliseconds age_error{1000};

/// How long a change is part of every report.
constexpr milliseconds fresh_time{5000};

/// Parts in a report: quarantined ones, others with several crashes, and all
/// others, which are reported in turn.
constexpr std::size_t max_reported_quarantined = 4;
constexpr std::size_t max_reported_repeated = 4;
constexpr std::size_t max_reported_suspected = 8;

/// A part that expires within this time is not taken over from others.
constexpr milliseconds expiry_margin{5000};

/// Returns the number of crashes that are apart in time.
std::size_t distinct_moments(const std::vector<prompt_crash>& crashes)
{
    std::size_t count = 0;
    boot_clock::time_point last;
    for (const auto& crash : crashes)
    {
        if (count == 0 || crash.at - last >= min_crash_distance)
        {
            ++count;
            last = crash.at;
        }
    }
    return count;
}

bool earlier(const prompt_crash& a, const prompt_crash& b)
{
    return a.at < b.at;
}

/// Returns whether `time` is later than a known one by more than the error of
/// ages.
bool is_news(const std::optional<boot_clock::time_point>& time,
             const std::optional<boot_clock::time_point>& known)
{
    return time && (!known || *time >= *known + age_error);
}

template <class Visitor>
void for_each_part(const prompt_parts& prompt, Visitor visit)
{
    for (const auto part : prompt.shared)
    {
        visit(part);
    }
    if (prompt.own != 0)
    {
        visit(prompt.own);
    }
}

} // namespace

prompt_quarantine::prompt_quarantine(prompt_quarantine_settings settings)
    : settings_(settings)
{
}

void prompt_quarantine::set_enabled(bool enabled)
{
    settings_.enabled = enabled;
    if (!enabled)
    {
        records_.clear();
        quarantined_.clear();
        ++changes_;
    }
}

std::optional<std::uint64_t>
prompt_quarantine::find(const prompt_parts& prompt) const
{
    std::optional<std::uint64_t> result;
    for_each_part(prompt,
                  [&](std::uint64_t part)
                  {
                      if (!result && quarantined_.contains(part))
                      {
                          result = part;
                      }
                  });
    return result;
}

void prompt_quarantine::record_request(std::uint64_t part, time_point now)
{
    record* known = find_record(part);
    if (known != nullptr && known->since)
    {
        known->last_request = now;
    }
}

void prompt_quarantine::record_crash(const prompt_parts& prompt,
                                     const prompt_crash& crash)
{
    const auto now = crash.at;
    if (!settings_.enabled || prompt.shared.empty() ||
        ended_before(crash.server_start, now))
    {
        return;
    }
    if (!find(prompt))
    {
        statistics_.add_crash(prompt, crash);
    }
    for_each_part(prompt,
                  [&](std::uint64_t part) { add_crash(part, crash, now); });
    bool quarantined = false;
    for_each_part(prompt,
                  [&](std::uint64_t part)
                  {
                      record* known = find_record(part);
                      if (known != nullptr && is_guilty(part, *known, now))
                      {
                          quarantine(part, *known, now);
                          quarantined = true;
                      }
                  });
    if (quarantined)
    {
        forget_explained_crashes();
    }
}

void prompt_quarantine::record_output(const prompt_parts& prompt,
                                      time_point now)
{
    // Requests without a prompt are no comparison for those with one.
    if (!settings_.enabled || prompt.shared.empty())
    {
        return;
    }
    statistics_.add_output(now);
    for (const auto part : prompt.shared)
    {
        outputs_.set(part, now);
    }
    clear(prompt, {now, std::nullopt}, now);
}

void prompt_quarantine::record_completion(const prompt_parts& prompt,
                                          milliseconds answer_time,
                                          time_point now)
{
    if (!settings_.enabled || prompt.shared.empty())
    {
        return;
    }
    statistics_.add_completion(answer_time, now);
    for (const auto part : prompt.shared)
    {
        completions_.set(part, now);
    }
    clear(prompt, {now, now}, now);
}

void prompt_quarantine::merge(const prompt_suspicion& other, time_point now)
{
    auto latest = other.last_request.value_or(time_point::min());
    for (const auto& crash : other.crashes)
    {
        latest = std::max(latest, crash.at);
    }
    if (!settings_.enabled ||
        (other.cleared.empty() &&
         latest + settings_.quiet_time < now + expiry_margin))
    {
        return;
    }
    for (const auto& crash : other.crashes)
    {
        if (!other.cleared.clears(crash))
        {
            add_crash(other.part, crash, now);
        }
    }
    record* known = find_record(other.part);
    if (known == nullptr)
    {
        return;
    }
    clear(other.part, *known, other.cleared, now);
    const bool taken_over =
        other.last_request && distinct_moments(known->crashes) >= min_crashes;
    if (!known->since && (taken_over || is_guilty(other.part, *known, now)))
    {
        quarantine(other.part, *known, now);
        forget_explained_crashes();
    }
    if (known->since && other.last_request &&
        *other.last_request > known->last_request + age_error)
    {
        known->last_request = *other.last_request;
    }
}

void prompt_quarantine::expire(time_point now)
{
    statistics_.expire(now);
    for (auto entry = records_.begin(); entry != records_.end();)
    {
        const auto current = entry++;
        if (expired(current->second, now))
        {
            release(current->first, current->second, now);
            records_.erase(current);
        }
    }
}

std::vector<prompt_suspicion> prompt_quarantine::report(bool all,
                                                        time_point now)
{
    std::vector<std::pair<std::uint64_t, record*>> quarantined;
    std::vector<std::pair<std::uint64_t, record*>> suspected;
    for (auto& [part, known] : records_)
    {
        if (known.since)
        {
            quarantined.emplace_back(part, &known);
        }
        else if (all || now - known.changed < fresh_time)
        {
            suspected.emplace_back(part, &known);
        }
    }
    const auto reported_earlier = [](const auto& a, const auto& b)
    { return a.second->reported < b.second->reported; };
    std::sort(quarantined.begin(), quarantined.end(), reported_earlier);
    quarantined.resize(std::min(quarantined.size(), max_reported_quarantined));
    const auto others = std::partition(
        suspected.begin(), suspected.end(),
        [](const auto& entry) { return entry.second->crashes.size() > 1; });
    std::sort(suspected.begin(), others,
              [&](const auto& a, const auto& b)
              {
                  const auto crashes_a = a.second->crashes.size();
                  const auto crashes_b = b.second->crashes.size();
                  return crashes_a != crashes_b ? crashes_a > crashes_b
                                                : reported_earlier(a, b);
              });
    // Parts that were cleared are news as well, which must not wait behind the
    // many that one crash casts suspicion on.
    const auto repeated = static_cast<std::ptrdiff_t>(
        std::min(static_cast<std::size_t>(others - suspected.begin()),
                 max_reported_repeated));
    std::sort(suspected.begin() + repeated, suspected.end(), reported_earlier);
    suspected.resize(std::min(suspected.size(), max_reported_suspected));
    ++reports_;
    std::vector<prompt_suspicion> result;
    for (const auto* list : {&quarantined, &suspected})
    {
        for (const auto& [part, known] : *list)
        {
            known->reported = reports_;
            prompt_suspicion suspicion{part, known->crashes, known->cleared,
                                       std::nullopt};
            if (known->since)
            {
                suspicion.last_request = known->last_request;
            }
            result.push_back(std::move(suspicion));
        }
    }
    return result;
}

std::vector<quarantined_part> prompt_quarantine::quarantined() const
{
    std::vector<quarantined_part> result;
    for (const auto& [part, known] : records_)
    {
        if (known.since)
        {
            result.push_back(
                {part, *known.since, known.last_request, known.crashes.size()});
        }
    }
    return result;
}

prompt_quarantine::record* prompt_quarantine::find_record(std::uint64_t part)
{
    const auto found = records_.find(part);
    return found == records_.end() ? nullptr : &found->second;
}

prompt_quarantine::record& prompt_quarantine::record_of(std::uint64_t part)
{
    if (!records_.contains(part) && records_.size() >= max_records)
    {
        make_room();
    }
    record& known = records_[part];
    if (known.cleared.empty())
    {
        known.cleared = {outputs_.find(part), completions_.find(part)};
    }
    return known;
}

void prompt_quarantine::add_crash(std::uint64_t part, const prompt_crash& crash,
                                  time_point now)
{
    record* known = find_record(part);
    const bool quarantined = known != nullptr && known->since.has_value();
    if (!quarantined && is_explained(crash))
    {
        return;
    }
    known = &record_of(part);
    if (known->cleared.clears(crash))
    {
        known->changed = now; // tells the process that reported the crash
        return;
    }
    auto& crashes = known->crashes;
    const auto same_start =
        std::find_if(crashes.begin(), crashes.end(),
                     [&crash](const prompt_crash& other)
                     { return other.server_start == crash.server_start; });
    if (same_start != crashes.end())
    {
        // A report that was longer under way shows a later time.
        same_start->at = std::min(same_start->at, crash.at);
        same_start->phase = std::max(same_start->phase, crash.phase);
        std::sort(crashes.begin(), crashes.end(), earlier);
        return;
    }
    const bool counted = std::any_of(crashes.begin(), crashes.end(),
                                     [&crash](const prompt_crash& other)
                                     { return same_moment(other, crash); });
    if ((counted && !quarantined) || crashes.size() >= max_crashes)
    {
        return;
    }
    crashes.insert(
        std::upper_bound(crashes.begin(), crashes.end(), crash, earlier),
        crash);
    known->changed = now;
    if (quarantined)
    {
        forget_explained_crashes();
    }
}

void prompt_quarantine::clear(const prompt_parts& prompt,
                              const prompt_clearance& evidence, time_point now)
{
    for_each_part(prompt,
                  [&](std::uint64_t part)
                  {
                      if (record* known = find_record(part))
                      {
                          clear(part, *known, evidence, now);
                      }
                  });
}

void prompt_quarantine::clear(std::uint64_t part, record& known,
                              const prompt_clearance& evidence, time_point now)
{
    const auto cleared =
        std::erase_if(known.crashes, [&evidence](const prompt_crash& crash)
                      { return evidence.clears(crash); });
    if (cleared == 0 && !is_news(evidence.output, known.cleared.output) &&
        !is_news(evidence.completion, known.cleared.completion))
    {
        return;
    }
    // An empty time is less than any other.
    known.cleared.output = std::max(known.cleared.output, evidence.output);
    known.cleared.completion =
        std::max(known.cleared.completion, evidence.completion);
    known.changed = cleared > 0 ? now : known.changed;
    if (known.crashes.empty())
    {
        release(part, known, now);
    }
}

bool prompt_quarantine::ended_before(std::uint64_t server_start, time_point now)
{
    const auto end = ends_.find(server_start);
    if (!end || now - *end > removal_time)
    {
        ends_.set(server_start, now);
        return false;
    }
    return now - *end > min_crash_distance;
}

bool prompt_quarantine::is_explained(const prompt_crash& crash) const
{
    const auto explains = [&crash](const prompt_crash& other)
    { return same_end(other, crash); };
    return std::any_of(quarantined_.begin(), quarantined_.end(),
                       [&](std::uint64_t part)
                       {
                           const auto& crashes = records_.at(part).crashes;
                           return std::any_of(crashes.begin(), crashes.end(),
                                              explains);
                       });
}

bool prompt_quarantine::is_guilty(std::uint64_t part, const record& known,
                                  time_point now) const
{
    if (known.since || known.crashes.size() < min_crashes)
    {
        return false;
    }
    const bool amid_answers =
        std::any_of(known.crashes.begin(), known.crashes.end(),
                    [](const prompt_crash& crash)
                    { return crash.phase == crash_phase::amid_answer; });
    // Where others get no further there is nothing to compare with.
    const auto& before_last = known.crashes[known.crashes.size() - 2];
    const auto outcomes = statistics_.total(now);
    const auto others_last =
        amid_answers ? outcomes.last_completion : outcomes.last_output;
    const bool others_go_on = others_last && *others_last > before_last.at;
    const auto request = known.crashes.front().request;
    const bool several_requests =
        std::any_of(known.crashes.begin(), known.crashes.end(),
                    [request](const prompt_crash& crash)
                    { return crash.request != request; });
    const auto needed =
        amid_answers
            ? std::max(known.cleared.completion ? min_cuts_if_sound
                                                : min_crashes,
                       statistics_.unlikely_cuts(part, known.crashes, now))
            : std::max(known.cleared.empty() ? min_crashes
                                             : min_crashes_if_sound,
                       statistics_.unlikely_crashes(known.crashes.size(), now));
    return others_go_on && (several_requests || request == part) &&
           distinct_moments(known.crashes) >= needed;
}

void prompt_quarantine::quarantine(std::uint64_t part, record& known,
                                   time_point now)
{
    known.since = now;
    known.last_request = now;
    known.changed = now;
    quarantined_.insert(part);
    ++changes_;
}

void prompt_quarantine::release(std::uint64_t part, record& known,
                                time_point now)
{
    if (known.since)
    {
        known.since.reset();
        known.changed = now;
        quarantined_.erase(part);
        ++changes_;
    }
}

void prompt_quarantine::forget_explained_crashes()
{
    for (auto& [part, known] : records_)
    {
        if (!known.since)
        {
            std::erase_if(known.crashes, [this](const prompt_crash& crash)
                          { return is_explained(crash); });
        }
    }
}

bool prompt_quarantine::expired(const record& known, time_point now) const
{
    if (known.since)
    {
        return now - known.last_request > settings_.quiet_time;
    }
    return known.crashes.empty()
               ? now - known.changed > fresh_time
               : now - known.crashes.back().at > settings_.quiet_time;
}

void prompt_quarantine::make_room()
{
    const auto least = std::min_element(
        records_.begin(), records_.end(),
        [](const auto& a, const auto& b)
        {
            const auto rank = [](const record& known)
            {
                return std::tuple(known.since.has_value(), known.crashes.size(),
                                  known.changed);
            };
            return rank(a.second) < rank(b.second);
        });
    release(least->first, least->second, least->second.changed);
    records_.erase(least);
}

} // namespace mangolink
