#include "base/log.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>
#include <easylogging++.h>

// Defines the global state of Easylogging++; required once per program.
INITIALIZE_EASYLOGGINGPP

namespace mangolink
{
namespace
{

log_level current_level = log_level::notice;

std::string escape(std::string_view value)
{
    std::string result;
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
        {
            result += '\\';
        }
        if (c == '\n' || c == '\r')
        {
            result += ' ';
        }
        else if (absl::ascii_iscntrl(static_cast<unsigned char>(c)))
        {
            absl::StrAppendFormat(&result, "\\x%02x",
                                  static_cast<unsigned char>(c));
        }
        else
        {
            result += c;
        }
    }
    return result;
}

std::string format_line(std::string_view component, std::string_view message,
                        std::initializer_list<log_field> fields)
{
    std::string result(component);
    result += ": ";
    result += message;
    for (const auto& field : fields)
    {
        if (field.value.empty())
        {
            continue;
        }
        result += ' ';
        result += field.name;
        result += "=\"";
        result += escape(field.value);
        result += '"';
    }
    return result;
}

} // namespace

void configure_log(log_level level, const std::string& instance)
{
    current_level = level;
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format,
                         "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " + instance +
                             " %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(settings);
}

bool log_enabled(log_level level)
{
    return current_level >= level;
}

void log_error(std::string_view component, std::string_view message,
               std::initializer_list<log_field> fields)
{
    LOG(ERROR) << format_line(component, message, fields);
}

void log_warning(std::string_view component, std::string_view message,
                 std::initializer_list<log_field> fields)
{
    if (log_enabled(log_level::warning))
    {
        LOG(WARNING) << format_line(component, message, fields);
    }
}

void log_notice(std::string_view component, std::string_view message,
                std::initializer_list<log_field> fields)
{
    if (log_enabled(log_level::notice))
    {
        LOG(INFO) << format_line(component, message, fields);
    }
}

void log_detail(std::string_view component, std::string_view message,
                std::initializer_list<log_field> fields)
{
    if (log_enabled(log_level::detail))
    {
        LOG(DEBUG) << format_line(component, message, fields);
    }
}

} // namespace mangolink
