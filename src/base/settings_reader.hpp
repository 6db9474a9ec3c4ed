#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// Which way a time is rounded to whole milliseconds.
enum class duration_rounding : std::uint8_t
{
    down, ///< for limits, which are not exceeded
    up    ///< for windows, which are not shortened
};

/// Reads one settings file and validates every key.
///
/// Keys are dotted, such as "entry.zone". Each read names the default, unless
/// the key is required, and the allowed values. Overrides from the command line
/// take precedence over the file, and the file over the defaults.
/// throw_if_invalid() reports all problems together.
class settings_reader final
{
public:
    /// Parses TOML text; throws settings_error when it is malformed.
    settings_reader(std::string_view text, std::string file);
    ~settings_reader();

    settings_reader(const settings_reader&) = delete;
    settings_reader& operator=(const settings_reader&) = delete;

    /// Overrides a value of the file with "key=value", also the same time in
    /// another unit. The value is parsed as TOML; one that is not TOML is taken
    /// as a string.
    void apply_override(std::string_view assignment);

    /// Reads a required string.
    std::string required_text(std::string_view key);

    /// Reads a string.
    std::string text(std::string_view key, std::string_view default_value);

    /// Reads a string that must be one of a list.
    std::string choice(std::string_view key, std::string_view default_value,
                       const std::vector<std::string>& allowed);

    /// Reads a required "a.b.c.d:port".
    std::string required_address(std::string_view key);

    /// Reads "a.b.c.d:port"; empty if the key is missing.
    std::string optional_address(std::string_view key);

    /// Reads a list of strings; empty if the key is missing.
    std::vector<std::string> text_list(std::string_view key);

    /// Reads an integer in a range, which may be written with a point.
    std::int64_t integer(std::string_view key, std::int64_t default_value,
                         std::int64_t min_value, std::int64_t max_value);

    /// Reads a number in a range.
    double number(std::string_view key, double default_value, double min_value,
                  double max_value);

    /// Reads a boolean.
    bool boolean(std::string_view key, bool default_value);

    /// Reads a time in a range: a number of milliseconds, or of seconds, under
    /// the name followed by "_ms" or "_s". Both may have fractions.
    milliseconds duration(std::string_view name, milliseconds default_value,
                          milliseconds min_value, milliseconds max_value,
                          duration_rounding rounding = duration_rounding::down);

    /// Throws settings_error if a problem was found or a key of the file was
    /// never read.
    void throw_if_invalid();

    /// Returns all keys read with their values in force, as TOML text.
    std::string effective() const;

private:
    struct state;
    struct effective_setting final
    {
        std::string key;
        std::string value;
    };

    void add_problem(std::string_view key, const std::string& reason);
    void record_value(std::string_view key, const std::string& value);

    std::unique_ptr<state> state_;
    std::string file_;
    std::vector<std::string> problems_;
    std::vector<effective_setting> effective_;
};

/// Returns the content of a file; throws settings_error if it cannot be read.
std::string read_settings_file(const std::string& path);

} // namespace mangolink
