#pragma once

#include "base/incarnation.hpp"

#include <absl/random/bit_gen_ref.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace mangolink
{

/// Key that names the one process that may run a non-idempotent request.
///
/// Text: "mk1.<backend server>.<incarnation>.<expiry>.<nonce>" with the
/// expiry in seconds of the Unix epoch and hexadecimal incarnation and nonce.
struct idempotency_key final
{
    std::string server; ///< backend server whose agent owns the key
    incarnation owner;
    std::chrono::sys_seconds expiry;
    std::uint64_t nonce = 0;

    /// Makes a fresh key.
    static idempotency_key issue(std::string server, incarnation owner,
                                 std::chrono::sys_seconds expiry,
                                 absl::BitGenRef random);

    /// Reads the text form; empty when it is not one.
    static std::optional<idempotency_key> parse(std::string_view text);

    std::string text() const;
};

} // namespace mangolink
