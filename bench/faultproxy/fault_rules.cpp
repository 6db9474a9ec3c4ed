#include "faultproxy/fault_rules.hpp"

#include <nlohmann/json.hpp>

namespace mangolink::bench
{
namespace
{

using nlohmann::json;

fault_rule parse_rule(const json& entry)
{
    fault_rule rule;
    rule.route = entry.value("route", "");
    rule.source = entry.value("source", "");
    rule.delay = milliseconds(entry.value("delay_ms", 0));
    rule.jitter = milliseconds(entry.value("jitter_ms", 0));
    rule.bytes_per_second = entry.value("bytes_per_second", std::uint64_t(0));
    rule.cut = entry.value("cut", false);
    rule.reset = entry.value("reset", false);
    rule.hold_to_server = entry.value("hold_to_server", false);
    rule.hold_to_client = entry.value("hold_to_client", false);
    rule.drop = entry.value("drop", 0.0);
    rule.duplicate_connect = entry.value("duplicate_connect", false);
    return rule;
}

} // namespace

void fault_rules::replace(const json& rules)
{
    std::vector<fault_rule> next;
    for (const auto& entry : rules)
    {
        next.push_back(parse_rule(entry));
    }
    rules_ = std::move(next);
}

fault_rule fault_rules::rule_for(const std::string& route,
                                 const std::string& source) const
{
    fault_rule result;
    for (const auto& rule : rules_)
    {
        const bool route_fits = rule.route.empty() || rule.route == route;
        const bool source_fits = rule.source.empty() || rule.source == source;
        if (route_fits && source_fits)
        {
            result = rule;
        }
    }
    return result;
}

} // namespace mangolink::bench
