#pragma once

#include <stdexcept>
#include <string>

namespace mangolink
{

/// Invalid settings; what() lists all problems, one per line, each with file,
/// line, key and the allowed values.
class settings_error final : public std::runtime_error
{
public:
    explicit settings_error(const std::string& problems)
        : std::runtime_error(problems)
    {
    }
};

} // namespace mangolink
