#pragma once

#include "request/request_id.hpp"

#include <cstdint>

namespace mangolink
{

/// Identifies one attempt of one stage of a request.
struct attempt_key final
{
    request_id id;
    std::uint32_t stage = 0;
    std::uint32_t attempt = 0;

    friend bool operator==(const attempt_key&, const attempt_key&) = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, const attempt_key& key)
    {
        return Hash::combine(std::move(state), key.id, key.stage, key.attempt);
    }
};

} // namespace mangolink
