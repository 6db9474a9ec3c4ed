#include "request/prompt_parts.hpp"

#include <absl/strings/str_cat.h>

namespace mangolink
{

std::string prompt_parts::text() const
{
    std::string result;
    for (const auto part : shared)
    {
        result += prompt_part_text(part) + ",";
    }
    return own == 0 ? result : result + prompt_part_text(own);
}

std::string prompt_part_text(std::uint64_t part)
{
    return absl::StrCat(absl::Hex(part));
}

} // namespace mangolink
