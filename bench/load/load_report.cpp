#include "load/load_report.hpp"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace mangolink::bench
{
namespace
{

using nlohmann::json;

struct attainment_count final
{
    std::uint64_t sent = 0;
    std::uint64_t attained = 0;

    json text() const
    {
        const double share = sent == 0 ? 0
                                       : static_cast<double>(attained) /
                                             static_cast<double>(sent);
        return {{"sent", sent}, {"attained", attained}, {"share", share}};
    }
};

json quantiles(std::vector<double> values);

/// Latency of complete requests by where the time was spent.
struct latency_breakdown final
{
    std::vector<double> to_entry; ///< outside the entry
    std::vector<double> to_agent; ///< between entry and agent
    std::vector<double> queued;
    std::vector<double> service;

    void add(const load_sample& sample);

    json text() const
    {
        return {{"outside_entry", quantiles(to_entry)},
                {"between_entry_and_agent", quantiles(to_agent)},
                {"queued", quantiles(queued)},
                {"service", quantiles(service)}};
    }
};

json quantiles(std::vector<double> values)
{
    if (values.empty())
    {
        return nullptr;
    }
    std::sort(values.begin(), values.end());
    const auto at = [&](double share)
    {
        const auto index = static_cast<std::size_t>(
            share * static_cast<double>(values.size() - 1));
        return values[index];
    };
    return {{"count", values.size()},
            {"p50", at(0.5)},
            {"p95", at(0.95)},
            {"p99", at(0.99)},
            {"max", at(1.0)}};
}

double to_ms(microseconds value)
{
    return static_cast<double>(value.count()) / 1000.0;
}

/// Returns the sums of the times over all stages.
stage_cost total_of(const load_sample& sample)
{
    stage_cost sum;
    for (const auto& stage : sample.stages)
    {
        sum.elapsed_ms += stage.elapsed_ms;
        sum.queued_ms += stage.queued_ms;
        sum.service_ms += stage.service_ms;
    }
    return sum;
}

void latency_breakdown::add(const load_sample& sample)
{
    const stage_cost sum = total_of(sample);
    to_entry.push_back(to_ms(sample.latency) - sum.elapsed_ms);
    to_agent.push_back(sum.elapsed_ms - sum.queued_ms - sum.service_ms);
    queued.push_back(sum.queued_ms);
    service.push_back(sum.service_ms);
}

} // namespace

json make_report(const load_plan& plan, const std::vector<load_sample>& samples)
{
    attainment_count all;
    std::map<std::string, attainment_count> customers;
    std::map<std::string, attainment_count> classes;
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> codes;
    std::map<std::string, stage_cost> stages;
    std::vector<double> latency;
    std::vector<double> refusals;
    std::vector<double> first;
    std::vector<double> gaps;
    latency_breakdown breakdown;
    std::uint64_t tokens = 0;
    for (const auto& sample : samples)
    {
        const request_class& kind = plan.classes[sample.kind];
        const bool complete = sample.outcome == "complete";
        const bool attained = complete && sample.latency <= kind.deadline;
        for (attainment_count* sum :
             {&all, &customers[kind.customer], &classes[kind.name]})
        {
            ++sum->sent;
            sum->attained += attained ? 1 : 0;
        }
        ++outcomes[sample.outcome.empty() ? "no_answer" : sample.outcome];
        ++codes[std::to_string(sample.code)];
        tokens += sample.tokens;
        if (complete)
        {
            latency.push_back(to_ms(sample.latency));
            breakdown.add(sample);
        }
        else if (sample.outcome == "not_run")
        {
            refusals.push_back(to_ms(sample.latency));
        }
        if (sample.tokens > 0)
        {
            first.push_back(to_ms(sample.first_token));
        }
        gaps.insert(gaps.end(), sample.gaps_ms.begin(), sample.gaps_ms.end());
        for (const auto& cost : sample.stages)
        {
            stage_cost& sum = stages[cost.stage];
            sum.service_ms += cost.service_ms;
            sum.recomputed_tokens += cost.recomputed_tokens;
            sum.cross_region_bytes += cost.cross_region_bytes;
        }
    }
    json report{{"seed", plan.seed},
                {"rate", plan.rate},
                {"seconds", plan.length.count()},
                {"attainment", all.text()},
                {"outcomes", outcomes},
                {"codes", codes},
                {"tokens", tokens},
                {"latency_ms", quantiles(std::move(latency))},
                {"latency_parts_ms", breakdown.text()},
                {"refusal_ms", quantiles(std::move(refusals))},
                {"first_token_ms", quantiles(std::move(first))},
                {"token_gap_ms", quantiles(std::move(gaps))}};
    for (const auto& [name, sum] : customers)
    {
        report["customers"][name] = sum.text();
    }
    for (const auto& [name, sum] : classes)
    {
        report["classes"][name] = sum.text();
    }
    for (const auto& [name, sum] : stages)
    {
        report["stages"][name] = {
            {"service_ms", sum.service_ms},
            {"recomputed_prompt_tokens", sum.recomputed_tokens},
            {"cross_region_bytes", sum.cross_region_bytes}};
    }
    return report;
}

std::string sample_lines(const load_plan& plan,
                         const std::vector<load_sample>& samples)
{
    std::string text =
        "start_ms class outcome latency_ms entry_ms queued_ms service_ms "
        "first_token_ms\n";
    for (const auto& sample : samples)
    {
        const stage_cost sum = total_of(sample);
        absl::StrAppendFormat(
            &text, "%.3f %s %s %.3f %.3f %.3f %.3f %.3f\n", to_ms(sample.start),
            plan.classes[sample.kind].name,
            sample.outcome.empty() ? "no_answer" : sample.outcome,
            to_ms(sample.latency), sum.elapsed_ms, sum.queued_ms,
            sum.service_ms, to_ms(sample.first_token));
    }
    return text;
}

} // namespace mangolink::bench
