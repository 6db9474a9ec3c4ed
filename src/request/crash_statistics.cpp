#include "request/crash_statistics.hpp"

#include "request/prompt_parts.hpp"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cmath>

namespace mangolink
{
namespace
{

constexpr milliseconds half_life{5000};

/// A sound part meets as many crashes in a row with at most this probability.
constexpr double max_false_probability = 1e-4;

/// Outcomes assumed in addition to those known.
constexpr double assumed_outputs = 50;
constexpr double assumed_crashes = 1;
constexpr double assumed_seconds = 50;
constexpr double assumed_other_crashes = 5;

/// A process with fewer outcomes is forgotten.
constexpr double negligible_outcomes = 0.1;

using fractional_seconds = std::chrono::duration<double>;

/// Crashes that are remembered one by one, and for how long.
constexpr std::size_t max_recent = 256;
constexpr milliseconds recent_time{10'000};

/// Keeps the number of crashes finite where nearly all requests meet one.
constexpr double max_crash_probability = 0.999;

/// Returns the number of crashes in a row, each with this probability, that is
/// unlikely.
std::size_t unlikely_row(double probability)
{
    return static_cast<std::size_t>(
        std::ceil(std::log(max_false_probability) /
                  std::log(std::min(probability, max_crash_probability))));
}

} // namespace

void crash_statistics::decaying_outcomes::set(const prompt_outcomes& value,
                                              boot_clock::time_point now)
{
    value_ = value;
    at_ = now;
}

prompt_outcomes
crash_statistics::decaying_outcomes::value(boot_clock::time_point now) const
{
    const std::chrono::duration<double, std::milli> age = now - at_;
    const double factor = std::exp2(-age / half_life);
    auto result = value_;
    for (double prompt_outcomes::*number :
         {&prompt_outcomes::outputs, &prompt_outcomes::crashes,
          &prompt_outcomes::completions, &prompt_outcomes::cuts,
          &prompt_outcomes::answer_seconds})
    {
        result.*number *= factor;
    }
    return result;
}

void crash_statistics::add_output(boot_clock::time_point now)
{
    auto outcomes = own_.value(now);
    ++outcomes.outputs;
    outcomes.last_output = now;
    own_.set(outcomes, now);
}

void crash_statistics::add_completion(milliseconds answer_time,
                                      boot_clock::time_point now)
{
    auto outcomes = own_.value(now);
    ++outcomes.completions;
    outcomes.answer_seconds += fractional_seconds(answer_time).count();
    outcomes.last_completion = now;
    own_.set(outcomes, now);
}

void crash_statistics::add_crash(const prompt_parts& prompt,
                                 const prompt_crash& crash)
{
    auto outcomes = own_.value(crash.at);
    ++(crash.phase == crash_phase::before_output ? outcomes.crashes
                                                 : outcomes.cuts);
    outcomes.answer_seconds += fractional_seconds(crash.after).count();
    own_.set(outcomes, crash.at);
    recent_.push_back({crash.server_start, crash.at, prompt.shared});
    if (recent_.size() > max_recent)
    {
        recent_.pop_front();
    }
}

void crash_statistics::set_outcomes_of(const std::string& process,
                                       const prompt_outcomes& outcomes,
                                       boot_clock::time_point now)
{
    others_[process].set(outcomes, now);
}

prompt_outcomes crash_statistics::total(boot_clock::time_point now) const
{
    auto total = own_.value(now);
    for (const auto& [process, outcomes] : others_)
    {
        const auto recent = outcomes.value(now);
        total.outputs += recent.outputs;
        total.crashes += recent.crashes;
        total.completions += recent.completions;
        total.cuts += recent.cuts;
        total.answer_seconds += recent.answer_seconds;
        // An empty time is less than any other.
        total.last_output = std::max(total.last_output, recent.last_output);
        total.last_completion =
            std::max(total.last_completion, recent.last_completion);
    }
    return total;
}

std::size_t crash_statistics::unlikely_crashes(std::size_t own_crashes,
                                               boot_clock::time_point now) const
{
    const auto all = total(now);
    const double crashes =
        std::max(0.0, all.crashes - static_cast<double>(own_crashes)) +
        assumed_crashes;
    return unlikely_row(crashes / (crashes + all.outputs + assumed_outputs));
}

std::size_t
crash_statistics::unlikely_cuts(std::uint64_t part,
                                const std::vector<prompt_crash>& own_crashes,
                                boot_clock::time_point now) const
{
    const auto all = total(now);
    const double cuts =
        (all.crashes + all.cuts) * (1 - share_of(part, own_crashes, now)) +
        assumed_crashes;
    // A long answer meets more ends of servers. On average a server's end cuts
    // an answer halfway.
    fractional_seconds answer_time(
        all.answer_seconds /
        (all.completions + all.crashes + all.cuts + assumed_crashes));
    for (const auto& crash : own_crashes)
    {
        answer_time =
            std::max<fractional_seconds>(answer_time, crash.after * 2);
    }
    const double rate = cuts / (all.answer_seconds + assumed_seconds);
    return unlikely_row(-std::expm1(-rate * answer_time.count()));
}

double crash_statistics::share_of(std::uint64_t part,
                                  const std::vector<prompt_crash>& crashes,
                                  boot_clock::time_point now) const
{
    absl::flat_hash_set<std::uint64_t> ends; // by start of the server
    for (const auto& crash : crashes)
    {
        ends.insert(crash.server_start);
    }
    const auto is_recent = [now](const recent_crash& crash)
    { return now - crash.at <= recent_time; };
    for (const auto& crash : recent_)
    {
        if (is_recent(crash) &&
            std::find(crash.shared.begin(), crash.shared.end(), part) !=
                crash.shared.end())
        {
            ends.insert(crash.server_start);
        }
    }
    const auto all = std::count_if(recent_.begin(), recent_.end(), is_recent);
    const auto shared = std::count_if(
        recent_.begin(), recent_.end(),
        [&](const recent_crash& crash)
        { return is_recent(crash) && ends.contains(crash.server_start); });
    return static_cast<double>(shared) /
           (static_cast<double>(all) + assumed_other_crashes);
}

void crash_statistics::expire(boot_clock::time_point now)
{
    absl::erase_if(others_,
                   [now](const auto& entry)
                   {
                       const auto recent = entry.second.value(now);
                       return recent.outputs + recent.crashes +
                                  recent.completions + recent.cuts <
                              negligible_outcomes;
                   });
}

} // namespace mangolink
