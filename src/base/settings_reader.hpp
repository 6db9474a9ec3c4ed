#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangolink
{

/// Reads one settings file and checks every key.
///
/// Keys are dotted, such as "entry.zone". Each read names the default and what
/// is allowed; a default of nullptr-like emptiness makes the key required.
/// Overrides from the command line go before the file, the file before the
/// defaults. finish() reports all problems together.
class settings_reader final
{
public:
    /// Parses TOML text; throws settings_error when it is not TOML.
    settings_reader(std::string_view text, std::string file);
    ~settings_reader();

    settings_reader(const settings_reader&) = delete;
    settings_reader& operator=(const settings_reader&) = delete;

    /// Sets "key=value" in place of what the file has. The value is read as
    /// TOML; one that is not TOML is taken as a string.
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

    /// Reads "a.b.c.d:port", or nothing.
    std::string optional_address(std::string_view key);

    /// Reads a list of strings; a missing one is empty.
    std::vector<std::string> text_list(std::string_view key);

    /// Reads a whole number in a range.
    std::int64_t integer(std::string_view key, std::int64_t default_value,
                         std::int64_t min_value, std::int64_t max_value);

    /// Reads a number in a range.
    double number(std::string_view key, double default_value, double min_value,
                  double max_value);

    /// Reads true or false.
    bool boolean(std::string_view key, bool default_value);

    /// Reads a whole number of milliseconds in a range.
    milliseconds duration_ms(std::string_view key, milliseconds default_value,
                             milliseconds min_value, milliseconds max_value);

    /// Throws settings_error when a problem was found or a key of the file
    /// was never read.
    void throw_if_invalid();

    /// Returns every key read with its value in force, as TOML text.
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

/// Reads a file whole; throws settings_error when it cannot be read.
std::string read_settings_file(const std::string& path);

} // namespace mangolink
