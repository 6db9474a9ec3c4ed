#include "load/load_plan.hpp"

#include <nlohmann/json.hpp>

#include <random>

namespace mangolink::bench
{
namespace
{

using nlohmann::json;
using fractional = std::chrono::duration<double>;

constexpr std::string_view words =
    "bronze tin lead crucible mould sprue riser fettle anneal gala lane heat ";

std::string text_of(std::size_t size, std::uint64_t salt)
{
    std::string text = std::to_string(salt) + " ";
    while (text.size() < size)
    {
        text += words.substr(salt % words.size());
        text += words;
    }
    text.resize(size);
    return text;
}

request_class parse_class(const json& entry)
{
    request_class kind;
    kind.name = entry.at("name");
    kind.weight = entry.value("weight", kind.weight);
    kind.path = entry.at("path");
    kind.customer = entry.value("customer", "");
    kind.deadline = milliseconds(entry.value("deadline_ms", 3000));
    kind.prompt_chars = entry.value("prompt_chars", kind.prompt_chars);
    kind.shared_chars = entry.value("shared_chars", kind.shared_chars);
    kind.families = entry.value("families", kind.families);
    kind.max_tokens = entry.value("max_tokens", kind.max_tokens);
    kind.streamed = entry.value("streamed", kind.streamed);
    kind.plain = entry.value("plain", kind.plain);
    return kind;
}

double factor_at(const load_plan& plan, fractional when)
{
    for (const auto& burst : plan.bursts)
    {
        if (when >= burst.begin && when < burst.begin + burst.length)
        {
            return burst.factor;
        }
    }
    return 1;
}

} // namespace

load_plan load_plan::parse(const json& value)
{
    load_plan plan;
    for (const auto& entry : value.at("classes"))
    {
        plan.classes.push_back(parse_class(entry));
    }
    for (const auto& entry : value.value("bursts", json::array()))
    {
        plan.bursts.push_back({fractional(entry.at("begin_s")),
                               fractional(entry.at("length_s")),
                               entry.at("factor")});
    }
    return plan;
}

std::vector<arrival> make_arrivals(const load_plan& plan)
{
    std::mt19937_64 random(plan.seed);
    std::vector<double> weights;
    for (const auto& kind : plan.classes)
    {
        weights.push_back(kind.weight);
    }
    std::discrete_distribution<std::uint32_t> choose(weights.begin(),
                                                     weights.end());
    std::vector<arrival> result;
    fractional now(0);
    while (true)
    {
        const double rate = plan.rate * factor_at(plan, now);
        now += fractional(std::exponential_distribution<>(rate)(random));
        if (now >= plan.length)
        {
            return result;
        }
        const std::uint32_t kind = choose(random);
        const std::uint32_t families =
            std::max(plan.classes[kind].families, 1U);
        const auto family = static_cast<std::uint32_t>(random() % families);
        result.push_back({now, kind, family});
    }
}

std::string body_of(const request_class& kind, const arrival& entry,
                    std::uint64_t serial)
{
    if (kind.plain)
    {
        return json{{"order", serial}, {"kind", kind.name}}.dump();
    }
    const std::size_t shared = std::min(kind.shared_chars, kind.prompt_chars);
    const std::string input =
        (shared > 0 ? text_of(shared, entry.family) : std::string()) +
        text_of(kind.prompt_chars - shared, serial + 1'000'000);
    json body{{"input", input}};
    if (kind.max_tokens > 0)
    {
        body["max_tokens"] = kind.max_tokens;
    }
    return body.dump();
}

} // namespace mangolink::bench
