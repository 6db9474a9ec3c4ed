#include "base/settings_reader.hpp"

#include "base/settings_error.hpp"
#include "base/socket_address.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
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

std::string quoted(const std::string& text)
{
    std::ostringstream out;
    out << toml::value<std::string>(text);
    return out.str();
}

void list_leaves(const toml::table& table, const std::string& prefix,
                 std::vector<std::string>& keys)
{
    for (const auto& [key, node] : table)
    {
        const std::string path = prefix.empty()
                                     ? std::string(key.str())
                                     : prefix + "." + std::string(key.str());
        if (const auto* inner = node.as_table())
        {
            list_leaves(*inner, path, keys);
            continue;
        }
        keys.push_back(path);
    }
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

void settings_reader::override_with(std::string_view assignment)
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
    target->insert_or_assign(rest, *parsed.get("value"));
}

std::string settings_reader::required_text(std::string_view key)
{
    const auto node = state_->table.at_path(key);
    if (!node)
    {
        problem(key, "missing; must be a string");
        return {};
    }
    return text(key, "");
}

std::string settings_reader::text(std::string_view key,
                                  std::string_view otherwise)
{
    const auto node = state_->table.at_path(key);
    std::string result(otherwise);
    if (node && !node.is_string())
    {
        problem(key, "must be a string");
    }
    else if (node)
    {
        result = *node.value<std::string>();
    }
    note(key, quoted(result));
    return result;
}

std::vector<std::string> settings_reader::text_list(std::string_view key)
{
    std::vector<std::string> result;
    const auto node = state_->table.at_path(key);
    const auto* list = node.as_array();
    if (node && list == nullptr)
    {
        problem(key, "must be a list of strings");
    }
    std::string shown;
    for (std::size_t i = 0; list != nullptr && i < list->size(); ++i)
    {
        const auto item = list->get(i)->value<std::string>();
        if (!item)
        {
            problem(key, "must be a list of strings");
            break;
        }
        shown += shown.empty() ? "" : ", ";
        shown += quoted(*item);
        result.push_back(*item);
    }
    note(key, "[" + shown + "]");
    return result;
}

std::string settings_reader::choice(std::string_view key,
                                    std::string_view otherwise,
                                    const std::vector<std::string>& allowed)
{
    std::string result = text(key, otherwise);
    if (std::find(allowed.begin(), allowed.end(), result) == allowed.end())
    {
        problem(key, "must be one of " + join(allowed, ", "));
    }
    return result;
}

std::string settings_reader::required_address(std::string_view key)
{
    std::string result = required_text(key);
    if (!result.empty() && !socket_address::parse(result))
    {
        problem(key, "must be an IPv4 address and port, as 127.0.0.1:7000");
    }
    return result;
}

std::string settings_reader::optional_address(std::string_view key)
{
    if (!state_->table.at_path(key))
    {
        note(key, "\"\"");
        return {};
    }
    return required_address(key);
}

std::int64_t settings_reader::whole(std::string_view key,
                                    std::int64_t otherwise, std::int64_t least,
                                    std::int64_t most)
{
    const auto node = state_->table.at_path(key);
    std::int64_t result = otherwise;
    if (node)
    {
        const auto value = node.value_exact<std::int64_t>();
        if (!value || *value < least || *value > most)
        {
            problem(key, "must be a whole number from " +
                             std::to_string(least) + " to " +
                             std::to_string(most));
            return otherwise;
        }
        result = *value;
    }
    note(key, std::to_string(result));
    return result;
}

double settings_reader::number(std::string_view key, double otherwise,
                               double least, double most)
{
    const auto node = state_->table.at_path(key);
    double result = otherwise;
    if (node)
    {
        const auto value =
            node.is_number() ? node.value<double>() : std::optional<double>();
        if (!value || !(*value >= least && *value <= most))
        {
            std::ostringstream range;
            range << "must be a number from " << least << " to " << most;
            problem(key, range.str());
            return otherwise;
        }
        result = *value;
    }
    std::ostringstream shown;
    shown << result;
    note(key, shown.str());
    return result;
}

bool settings_reader::flag(std::string_view key, bool otherwise)
{
    const auto node = state_->table.at_path(key);
    bool result = otherwise;
    if (node && !node.is_boolean())
    {
        problem(key, "must be true or false");
    }
    else if (node)
    {
        result = *node.value<bool>();
    }
    note(key, result ? "true" : "false");
    return result;
}

milliseconds settings_reader::duration_ms(std::string_view key,
                                          milliseconds otherwise,
                                          milliseconds least, milliseconds most)
{
    return milliseconds(
        whole(key, otherwise.count(), least.count(), most.count()));
}

void settings_reader::finish()
{
    std::vector<std::string> present;
    list_leaves(state_->table, "", present);
    for (const auto& key : present)
    {
        const bool known = std::any_of(effective_.begin(), effective_.end(),
                                       [&](const effective_row& row)
                                       { return row.key == key; });
        const bool reported = std::any_of(
            problems_.begin(), problems_.end(),
            [&](const std::string& line)
            { return line.find(": " + key + ": ") != std::string::npos; });
        if (!known && !reported)
        {
            problem(key, "unknown key");
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
    for (const auto& row : effective_)
    {
        result += row.key + " = " + row.value + "\n";
    }
    return result;
}

void settings_reader::problem(std::string_view key, const std::string& reason)
{
    const auto node = state_->table.at_path(key);
    const auto line = node ? node.node()->source().begin.line : 0;
    problems_.push_back(file_ + ":" + std::to_string(line) + ": " +
                        std::string(key) + ": " + reason);
}

void settings_reader::note(std::string_view key, const std::string& value)
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
