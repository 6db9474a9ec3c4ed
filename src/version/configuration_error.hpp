#pragma once

#include <stdexcept>
#include <string>

namespace mangolink
{

/// Thrown for an invalid configuration value; what() contains its location.
class configuration_error final : public std::runtime_error
{
public:
    configuration_error(const std::string& location, const std::string& reason)
        : std::runtime_error(location + ": " + reason)
    {
    }
};

} // namespace mangolink
