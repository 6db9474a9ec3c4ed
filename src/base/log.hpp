#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace mangolink
{

/// A named value of a log line.
struct log_field final
{
    std::string_view name;
    std::string value;
};

/// Log level; each level includes those before it.
enum class log_level
{
    error,
    warning,
    notice,
    detail
};

/// Sets the level and the line format. Call once, before threads start.
/// The instance name is part of every line.
void configure_log(log_level level, const std::string& instance);

/// Returns whether lines of the level are written, so that hot paths can skip
/// building the fields. Thread-safe.
bool log_enabled(log_level level);

/// Write one line: time, level, instance, component, a short message and the
/// fields as name="value". Thread-safe.
void log_error(std::string_view component, std::string_view message,
               std::initializer_list<log_field> fields = {});
void log_warning(std::string_view component, std::string_view message,
                 std::initializer_list<log_field> fields = {});
void log_notice(std::string_view component, std::string_view message,
                std::initializer_list<log_field> fields = {});
void log_detail(std::string_view component, std::string_view message,
                std::initializer_list<log_field> fields = {});

} // namespace mangolink
