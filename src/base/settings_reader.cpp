#include "base/settings_reader.hpp"

#include "base/settings_error.hpp"
#include "base/socket_address.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <limits>
#include <optional>
#include <sstream>

namespace mangolink
{
namespace
{

std::string join(const std::vector<std::string>& lines,
                 std::string_view separator)
{
    std::string result;
    for (const auto& line : lines)
    {
        result += result.empty() ? "" : separator;
        result += line;
    }
    return result;
}

std::string to_toml_string(const std::string& text)
{
    std::ostringstream out;
    out << toml::value<std::string>(text);
    return out.str();
}

std::string to_toml_number(double number)
{
    std::ostringstream out;
    out.precision(std::numeric_limits<double>::digits10);
    out << number;
    return out.str();
}

/// Unit in which a time may be given, and the end of its key.
struct time_unit final
{
    std::string_view suffix;
    const char* name;
    std::chrono::duration<double, std::milli> length;
};

constexpr std::array<time_unit, 2> time_units{
    {{"_ms", "milliseconds", milliseconds(1)},
     {"_s", "seconds", std::chrono::seconds(1)}}};

milliseconds to_milliseconds(std::chrono::duration<double, std::milli> time,
                             duration_rounding rounding)
{
    // A decimal fraction may be slightly more or less as a binary one.
    const auto exact = std::chrono::round<std::chrono::microseconds>(time);
    return rounding == duration_rounding::down
               ? std::chrono::floor<milliseconds>(exact)
               : std::chrono::ceil<milliseconds>(exact);
}

/// Removes the same time in another unit.
void erase_other_units(toml::table& table, std::string_view key)
{
    for (const auto& unit : time_units)
    {
        if (!key.ends_with(unit.suffix))
        {
            continue;
        }
        const std::string name(key.substr(0, key.size() - unit.suffix.size()));
        for (const auto& other : time_units)
        {
            if (other.suffix != unit.suffix)
            {
                table.erase(name + std::string(other.suffix));
            }
        }
    }
}

void collect_keys(const toml::table& table, const std::string& prefix,
                  std::vector<std::string>& keys)
{
    for (const auto& [key, node] : table)
    {
        const std::string path = prefix.empty()
                                     ? std::string(key.str())
                                     : prefix + "." + std::string(key.str());
        if (const auto* inner = node.as_table())
        {
            collect_keys(*inner, path, keys);
            continue;
        }
        keys.push_back(path);
    }
}

/// Returns a whole number, which may be written with a point.
std::optional<std::int64_t>
whole_number(const toml::node_view<toml::node>& node)
{
    constexpr double max_exact = 9007199254740992; // 2^53
    const auto* real = node.as_floating_point();
    if (real == nullptr)
    {
        return node.value_exact<std::int64_t>();
    }
    const double value = real->get();
    return std::abs(value) <= max_exact && std::trunc(value) == value
               ? std::optional(static_cast<std::int64_t>(value))
               : std::nullopt;
}

} // namespace

struct settings_reader::state final
{
    toml::table table;
};

settings_reader::settings_reader(std::string_view text, std::string file)
    : state_(std::make_unique<state>()), file_(std::move(file))
{
    try
    {
        state_->table = toml::parse(text, file_);
    }
    catch (const toml::parse_error& error)
    {
        throw settings_error(file_ + ":" +
                             std::to_string(error.source().begin.line) + ": " +
                             std::string(error.description()));
    }
}

settings_reader::~settings_reader() = default;

void settings_reader::apply_override(std::string_view assignment)
{
    const auto equals = assignment.find('=');
    if (equals == std::string_view::npos || equals == 0)
    {
        throw settings_error("--set: " + std::string(assignment) +
                             ": must be key=value");
    }
    const std::string key(assignment.substr(0, equals));
    const std::string value(assignment.substr(equals + 1));
    toml::table parsed;
    try
    {
        parsed = toml::parse("value = " + value);
    }
    catch (const toml::parse_error&)
    {
        parsed.insert_or_assign("value", value);
    }
    toml::table* target = &state_->table;
    std::string rest = key;
    for (auto dot = rest.find('.'); dot != std::string::npos;
         dot = rest.find('.'))
    {
        const std::string head = rest.substr(0, dot);
        target->insert(head, toml::table{});
        target = target->get(head)->as_table();
        if (target == nullptr)
        {
            throw settings_error("--set: " + key + ": " + head +
                                 " is not a table");
        }
        rest = rest.substr(dot + 1);
    }
    erase_other_units(*target, rest);
    target->insert_or_assign(rest, *parsed.get("value"));
}

std::string settings_reader::required_text(std::string_view key)
{
    const auto node = state_->table.at_path(key);
    if (!node)
    {
        add_problem(key, "missing; must be a string");
        return {};
    }
    return text(key, "");
}

std::string settings_reader::text(std::string_view key,
                                  std::string_view default_value)
{
    const auto node = state_->table.at_path(key);
    std::string result(default_value);
    if (node && !node.is_string())
    {
        add_problem(key, "must be a string");
    }
    else if (node)
    {
        result = *node.value<std::string>();
    }
    record_value(key, to_toml_string(result));
    return result;
}

std::vector<std::string> settings_reader::text_list(std::string_view key)
{
    std::vector<std::string> result;
    const auto node = state_->table.at_path(key);
    const auto* list = node.as_array();
    if (node && list == nullptr)
    {
        add_problem(key, "must be a list of strings");
    }
    std::string text_value;
    for (std::size_t i = 0; list != nullptr && i < list->size(); ++i)
    {
        const auto item = list->get(i)->value<std::string>();
        if (!item)
        {
            add_problem(key, "must be a list of strings");
            break;
        }
        text_value += text_value.empty() ? "" : ", ";
        text_value += to_toml_string(*item);
        result.push_back(*item);
    }
    record_value(key, "[" + text_value + "]");
    return result;
}

std::string settings_reader::choice(std::string_view key,
                                    std::string_view default_value,
                                    const std::vector<std::string>& allowed)
{
    std::string result = text(key, default_value);
    if (std::find(allowed.begin(), allowed.end(), result) == allowed.end())
    {
        add_problem(key, "must be one of " + join(allowed, ", "));
    }
    return result;
}

std::string settings_reader::required_address(std::string_view key)
{
    std::string result = required_text(key);
    if (!result.empty() && !socket_address::parse(result))
    {
        add_problem(key, "must be an IPv4 address and port, as 127.0.0.1:7000");
    }
    return result;
}

std::string settings_reader::optional_address(std::string_view key)
{
    if (!state_->table.at_path(key))
    {
        record_value(key, "\"\"");
        return {};
    }
    return required_address(key);
}

std::int64_t settings_reader::integer(std::string_view key,
                                      std::int64_t default_value,
                                      std::int64_t min_value,
                                      std::int64_t max_value)
{
    const auto node = state_->table.at_path(key);
    std::int64_t result = default_value;
    if (node)
    {
        const auto value = whole_number(node);
        if (!value || *value < min_value || *value > max_value)
        {
            add_problem(key, "must be a whole number from " +
                                 std::to_string(min_value) + " to " +
                                 std::to_string(max_value));
            return default_value;
        }
        result = *value;
    }
    record_value(key, std::to_string(result));
    return result;
}

double settings_reader::number(std::string_view key, double default_value,
                               double min_value, double max_value)
{
    const auto node = state_->table.at_path(key);
    double result = default_value;
    if (node)
    {
        const auto value =
            node.is_number() ? node.value<double>() : std::optional<double>();
        if (!value || !(*value >= min_value && *value <= max_value))
        {
            add_problem(key, "must be a number from " +
                                 to_toml_number(min_value) + " to " +
                                 to_toml_number(max_value));
            return default_value;
        }
        result = *value;
    }
    record_value(key, to_toml_number(result));
    return result;
}

bool settings_reader::boolean(std::string_view key, bool default_value)
{
    const auto node = state_->table.at_path(key);
    bool result = default_value;
    if (node && !node.is_boolean())
    {
        add_problem(key, "must be true or false");
    }
    else if (node)
    {
        result = *node.value<bool>();
    }
    record_value(key, result ? "true" : "false");
    return result;
}

milliseconds settings_reader::duration(std::string_view name,
                                       milliseconds default_value,
                                       milliseconds min_value,
                                       milliseconds max_value,
                                       duration_rounding rounding)
{
    milliseconds result = default_value;
    std::string used_key;
    for (const auto& unit : time_units)
    {
        const std::string key = std::string(name) + std::string(unit.suffix);
        const auto node = state_->table.at_path(key);
        if (!node)
        {
            continue;
        }
        if (!used_key.empty())
        {
            add_problem(key, "also given as " + used_key);
            continue;
        }
        used_key = key;
        const double value = node.is_number()
                                 ? node.value_or(0.0)
                                 : std::numeric_limits<double>::quiet_NaN();
        const auto time = value * unit.length;
        if (!(time >= min_value && time <= max_value))
        {
            add_problem(key,
                        std::string("must be a number of ") + unit.name +
                            " from " + to_toml_number(min_value / unit.length) +
                            " to " + to_toml_number(max_value / unit.length));
            continue;
        }
        result = to_milliseconds(time, rounding);
        record_value(key, to_toml_number(value));
    }
    if (used_key.empty())
    {
        record_value(std::string(name) + "_ms", std::to_string(result.count()));
    }
    return result;
}

void settings_reader::throw_if_invalid()
{
    std::vector<std::string> file_keys;
    collect_keys(state_->table, "", file_keys);
    for (const auto& key : file_keys)
    {
        const bool known = std::any_of(effective_.begin(), effective_.end(),
                                       [&](const effective_setting& setting)
                                       { return setting.key == key; });
        const bool reported = std::any_of(
            problems_.begin(), problems_.end(),
            [&](const std::string& line)
            { return line.find(": " + key + ": ") != std::string::npos; });
        if (!known && !reported)
        {
            add_problem(key, "unknown key");
        }
    }
    if (!problems_.empty())
    {
        throw settings_error(join(problems_, "\n"));
    }
}

std::string settings_reader::effective() const
{
    std::string result;
    for (const auto& setting : effective_)
    {
        result += setting.key + " = " + setting.value + "\n";
    }
    return result;
}

void settings_reader::add_problem(std::string_view key,
                                  const std::string& reason)
{
    const auto node = state_->table.at_path(key);
    const auto line = node ? node.node()->source().begin.line : 0;
    problems_.push_back(file_ + ":" + std::to_string(line) + ": " +
                        std::string(key) + ": " + reason);
}

void settings_reader::record_value(std::string_view key,
                                   const std::string& value)
{
    effective_.push_back({std::string(key), value});
}

std::string read_settings_file(const std::string& path)
{
    std::ifstream input(path);
    if (!input)
    {
        throw settings_error(path + ":0: cannot be read");
    }
    std::ostringstream content;
    content << input.rdbuf();
    return content.str();
}

} // namespace mangolink
