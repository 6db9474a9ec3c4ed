#include "connection/prompt_guard.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "process/backend_server.hpp"
#include "request/prompt_parts.hpp"
#include "request/prompt_quarantine.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mangolink
{
namespace
{

constexpr const char* changes_metric = "mangolink_prompt_quarantines_total";

std::int64_t age_ms(boot_clock::time_point since, boot_clock::time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - since).count();
}

} // namespace

prompt_guard::prompt_guard(prompt_quarantine& quarantine,
                           metrics_registry& metrics,
                           quarantine_handler on_quarantined)
    : quarantine_(quarantine), on_quarantined_(std::move(on_quarantined)),
      crashes_(metrics.counter("mangolink_prompt_crashes_total")),
      refusals_(metrics.counter("mangolink_prompt_refusals_total")),
      quarantined_(metrics.counter(changes_metric, "how=\"quarantined\"")),
      released_(metrics.counter(changes_metric, "how=\"released\""))
{
    metrics.gauge("mangolink_quarantined_parts",
                  [this] { return static_cast<double>(entries_.size()); });
    metrics.gauge("mangolink_suspected_parts", [this]
                  { return static_cast<double>(quarantine_.suspected()); });
}

bool prompt_guard::is_quarantined(const prompt_parts& prompt) const
{
    return quarantine_.find(prompt).has_value();
}

std::optional<refusal> prompt_guard::check(const prompt_parts& prompt)
{
    const auto part = quarantine_.find(prompt);
    if (!part)
    {
        return std::nullopt;
    }
    quarantine_.record_request(*part, boot_clock::now());
    ++entries_[*part].refused;
    refusals_.add();
    return refusal{http::status::service_unavailable,
                   "prompt part quarantined: " + prompt_part_text(*part),
                   quarantine_.settings().quiet_time};
}

void prompt_guard::record_crash(const prompt_parts& prompt,
                                const backend_server& server, crash_phase phase,
                                milliseconds after_send)
{
    crashes_.add();
    quarantine_.record_crash(prompt, {server.start_hash(), prompt.own,
                                      boot_clock::now(), phase, after_send});
    report_changes(true);
}

void prompt_guard::record_output(const prompt_parts& prompt)
{
    quarantine_.record_output(prompt, boot_clock::now());
    report_changes(true);
}

void prompt_guard::record_completion(const prompt_parts& prompt,
                                     milliseconds answer_time)
{
    quarantine_.record_completion(prompt, answer_time, boot_clock::now());
    report_changes(true);
}

void prompt_guard::record_outcomes(const std::string& process,
                                   const prompt_outcomes& outcomes)
{
    quarantine_.statistics().set_outcomes_of(process, outcomes,
                                             boot_clock::now());
}

void prompt_guard::merge(const prompt_suspicion& suspicion)
{
    quarantine_.merge(suspicion, boot_clock::now());
    report_changes(false);
}

std::vector<prompt_suspicion> prompt_guard::report(bool all)
{
    return quarantine_.report(all, boot_clock::now());
}

prompt_outcomes prompt_guard::outcomes() const
{
    return quarantine_.statistics().own(boot_clock::now());
}

void prompt_guard::expire()
{
    quarantine_.expire(boot_clock::now());
    report_changes(true);
}

std::string prompt_guard::status_text() const
{
    const auto now = boot_clock::now();
    auto parts = nlohmann::json::array();
    for (const auto& known : quarantine_.quarantined())
    {
        parts.push_back(
            {{"part", prompt_part_text(known.part)},
             {"since_ms_ago", age_ms(known.since, now)},
             {"last_request_ms_ago", age_ms(known.last_request, now)},
             {"crashes", known.crashes},
             {"refused", entries_.at(known.part).refused}});
    }
    const nlohmann::json status{
        {"enabled", quarantine_.settings().enabled},
        {"suspected_parts", quarantine_.suspected()},
        {"quiet_time_ms", quarantine_.settings().quiet_time.count()},
        {"parts", parts}};
    return status.dump(2) + "\n";
}

void prompt_guard::report_changes(bool found_here)
{
    if (seen_changes_ == quarantine_.changes())
    {
        return;
    }
    seen_changes_ = quarantine_.changes();
    const auto now = boot_clock::now();
    const auto current = quarantine_.quarantined();
    bool added = false;
    for (const auto& known : current)
    {
        if (entries_.contains(known.part))
        {
            continue;
        }
        entries_[known.part].since = now;
        quarantined_.add();
        added = true;
        log_warning("prompt", "Part quarantined, as servers end under it.",
                    {{"part", prompt_part_text(known.part)},
                     {"crashes", std::to_string(known.crashes)},
                     {"found", found_here ? "here" : "by others"}});
    }
    report_released(current);
    if (added)
    {
        on_quarantined_(found_here);
    }
}

void prompt_guard::report_released(const std::vector<quarantined_part>& current)
{
    const auto now = boot_clock::now();
    for (auto entry = entries_.begin(); entry != entries_.end();)
    {
        const auto each = entry++;
        const bool held = std::any_of(current.begin(), current.end(),
                                      [&each](const auto& known)
                                      { return known.part == each->first; });
        if (held)
        {
            continue;
        }
        released_.add();
        log_notice(
            "prompt", "Part released.",
            {{"part", prompt_part_text(each->first)},
             {"after_ms", std::to_string(age_ms(each->second.since, now))},
             {"refused", std::to_string(each->second.refused)}});
        entries_.erase(each);
    }
}

} // namespace mangolink
