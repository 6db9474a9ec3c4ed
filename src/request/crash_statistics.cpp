#include "request/crash_statistics.hpp"

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

/// A process with fewer outcomes is forgotten.
constexpr double negligible_outcomes = 0.1;

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
    return {value_.outputs * factor, value_.crashes * factor,
            value_.last_output};
}

void crash_statistics::add_output(boot_clock::time_point now)
{
    auto outcomes = own_.value(now);
    ++outcomes.outputs;
    outcomes.last_output = now;
    own_.set(outcomes, now);
}

void crash_statistics::add_crash(boot_clock::time_point now)
{
    auto outcomes = own_.value(now);
    ++outcomes.crashes;
    own_.set(outcomes, now);
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
        if (recent.last_output)
        {
            total.last_output =
                std::max(*recent.last_output,
                         total.last_output.value_or(*recent.last_output));
        }
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
    const double rate = crashes / (crashes + all.outputs + assumed_outputs);
    return static_cast<std::size_t>(
        std::ceil(std::log(max_false_probability) / std::log(rate)));
}

void crash_statistics::expire(boot_clock::time_point now)
{
    absl::erase_if(others_,
                   [now](const auto& entry)
                   {
                       const auto recent = entry.second.value(now);
                       return recent.outputs + recent.crashes <
                              negligible_outcomes;
                   });
}

} // namespace mangolink
