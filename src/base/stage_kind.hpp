#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace mangolink
{

/// Kind of work that a stage requests from its backend server.
enum class stage_kind : std::uint8_t
{
    encode,
    retrieve,
    rerank,
    generate,
    call ///< one call of an application server, body unchanged
};

/// Returns the name used in the configuration.
std::string_view stage_kind_name(stage_kind kind);

/// Returns the kind with this name in the configuration.
std::optional<stage_kind> stage_kind_from_name(std::string_view name);

/// Returns the kind with this number in a message.
std::optional<stage_kind> stage_kind_from_wire(std::uint32_t number);

} // namespace mangolink
