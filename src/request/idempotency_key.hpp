#pragma once

#include "base/incarnation.hpp"

#include <absl/random/bit_gen_ref.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace mangolink
{

/// Key that identifies the only process allowed to run a non-idempotent
/// request.
///
/// Text format: "mk1.<backend server>.<incarnation>.<expiry>.<nonce>", with the
/// expiry in seconds since the Unix epoch, and incarnation and nonce in
/// hexadecimal.
struct idempotency_key final
{
    std::string server; ///< backend server whose agent owns the key
    incarnation owner;
    std::chrono::sys_seconds expiry;
    std::uint64_t nonce = 0;

    /// Creates a key with a random nonce.
    static idempotency_key issue(std::string server, incarnation owner,
                                 std::chrono::sys_seconds expiry,
                                 absl::BitGenRef random);

    /// Parses the text format. Returns nullopt if the text is invalid.
    static std::optional<idempotency_key> parse(std::string_view text);

    std::string text() const;
};

} // namespace mangolink
