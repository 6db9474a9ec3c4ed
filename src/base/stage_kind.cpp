#include "base/stage_kind.hpp"

#include <array>

namespace mangolink
{
namespace
{

constexpr std::array<std::string_view, 5> names{"encode", "retrieve", "rerank",
                                                "generate", "call"};

} // namespace

std::string_view stage_kind_name(stage_kind kind)
{
    return names[static_cast<std::size_t>(kind)];
}

std::optional<stage_kind> stage_kind_from_name(std::string_view name)
{
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (names[i] == name)
        {
            return static_cast<stage_kind>(i);
        }
    }
    return std::nullopt;
}

std::optional<stage_kind> stage_kind_from_wire(std::uint32_t number)
{
    if (number >= names.size())
    {
        return std::nullopt;
    }
    return static_cast<stage_kind>(number);
}

} // namespace mangolink
