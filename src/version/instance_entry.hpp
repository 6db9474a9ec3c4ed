#pragma once

#include <string>

namespace mangolink
{

/// One entry of the platform's instance list.
struct instance_entry final
{
    std::string name;
    std::string zone;
    bool leaving = false;
};

} // namespace mangolink
