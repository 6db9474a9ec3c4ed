#include "faultproxy/fault_rules.hpp"

#include <nlohmann/json.hpp>

namespace mangolink::bench
{
namespace
{

using nlohmann::json;

fault_rule parse_rule(const json& row)
{
    fault_rule rule;
    rule.route = row.value("route", "");
    rule.source = row.value("source", "");
    rule.delay = milliseconds(row.value("delay_ms", 0));
    rule.jitter = milliseconds(row.value("jitter_ms", 0));
    rule.bytes_per_second = row.value("bytes_per_second", std::uint64_t(0));
    rule.cut = row.value("cut", false);
    rule.reset = row.value("reset", false);
    rule.hold_to_server = row.value("hold_to_server", false);
    rule.hold_to_client = row.value("hold_to_client", false);
    rule.drop = row.value("drop", 0.0);
    rule.duplicate_connect = row.value("duplicate_connect", false);
    return rule;
}

} // namespace

void fault_rules::replace(const json& rules)
{
    std::vector<fault_rule> next;
    for (const auto& row : rules)
    {
        next.push_back(parse_rule(row));
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
