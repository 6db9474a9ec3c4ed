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
    void override_with(std::string_view assignment);

    /// Reads a required string.
    std::string required_text(std::string_view key);

    /// Reads a string.
    std::string text(std::string_view key, std::string_view otherwise);

    /// Reads a string that must be one of a list.
    std::string choice(std::string_view key, std::string_view otherwise,
                       const std::vector<std::string>& allowed);

    /// Reads a required "a.b.c.d:port".
    std::string required_address(std::string_view key);

    /// Reads "a.b.c.d:port", or nothing.
    std::string optional_address(std::string_view key);

    /// Reads a list of strings; a missing one is empty.
    std::vector<std::string> text_list(std::string_view key);

    /// Reads a whole number in a range.
    std::int64_t whole(std::string_view key, std::int64_t otherwise,
                       std::int64_t least, std::int64_t most);

    /// Reads a number in a range.
    double number(std::string_view key, double otherwise, double least,
                  double most);

    /// Reads true or false.
    bool flag(std::string_view key, bool otherwise);

    /// Reads a whole number of milliseconds in a range.
    milliseconds duration_ms(std::string_view key, milliseconds otherwise,
                             milliseconds least, milliseconds most);

    /// Throws settings_error when a problem was found or a key of the file
    /// was never read.
    void finish();

    /// Returns every key read with its value in force, as TOML text.
    std::string effective() const;

private:
    struct state;
    struct effective_row final
    {
        std::string key;
        std::string value;
    };

    void problem(std::string_view key, const std::string& reason);
    void note(std::string_view key, const std::string& value);

    std::unique_ptr<state> state_;
    std::string file_;
    std::vector<std::string> problems_;
    std::vector<effective_row> effective_;
};

/// Reads a file whole; throws settings_error when it cannot be read.
std::string read_settings_file(const std::string& path);

} // namespace mangolink
