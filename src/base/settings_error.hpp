#pragma once

#include <stdexcept>
#include <string>

namespace mangolink
{

/// Settings that cannot be used; what() lists every problem, one a line, each
/// with file, line, key and what is allowed.
class settings_error final : public std::runtime_error
{
public:
    explicit settings_error(const std::string& problems)
        : std::runtime_error(problems)
    {
    }
};

} // namespace mangolink
