#pragma once

#include <absl/random/bit_gen_ref.h>

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangolink
{

/// Random 128-bit identifier of a request.
class request_id final
{
public:
    static constexpr std::size_t size = 16;

    constexpr request_id() = default;

    /// Creates a random id.
    static request_id random(absl::BitGenRef source);

    /// Decodes the 16 bytes of a message. Returns nullopt for another length.
    static std::optional<request_id> from_bytes(std::string_view bytes);

    /// Encodes the id as 16 bytes.
    std::string bytes() const;

    /// Returns 32 hexadecimal digits.
    std::string text() const;

    friend auto operator<=>(const request_id&, const request_id&) = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, const request_id& id)
    {
        return Hash::combine(std::move(state), id.words_[0], id.words_[1]);
    }

private:
    std::array<std::uint64_t, 2> words_{};
};

} // namespace mangolink
