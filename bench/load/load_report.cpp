#include "load/load_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace mangolink::bench
{
namespace
{

using nlohmann::json;

struct tally final
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

} // namespace

json make_report(const load_plan& plan, const std::vector<load_sample>& samples)
{
    tally all;
    std::map<std::string, tally> customers;
    std::map<std::string, tally> classes;
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> codes;
    std::map<std::string, stage_cost> stages;
    std::vector<double> latency;
    std::vector<double> refusals;
    std::vector<double> first;
    std::vector<double> gaps;
    std::uint64_t tokens = 0;
    for (const auto& row : samples)
    {
        const request_class& kind = plan.classes[row.kind];
        const bool complete = row.outcome == "complete";
        const bool attained = complete && row.latency <= kind.deadline;
        for (tally* sum :
             {&all, &customers[kind.customer], &classes[kind.name]})
        {
            ++sum->sent;
            sum->attained += attained ? 1 : 0;
        }
        ++outcomes[row.outcome.empty() ? "no_answer" : row.outcome];
        ++codes[std::to_string(row.code)];
        tokens += row.tokens;
        if (complete)
        {
            latency.push_back(to_ms(row.latency));
        }
        else if (row.outcome == "not_run")
        {
            refusals.push_back(to_ms(row.latency));
        }
        if (row.tokens > 0)
        {
            first.push_back(to_ms(row.first_token));
        }
        gaps.insert(gaps.end(), row.gaps_ms.begin(), row.gaps_ms.end());
        for (const auto& cost : row.stages)
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

} // namespace mangolink::bench
