#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace mangolink::test
{

/// Kinds of requests that callers of a soak make.
enum class soak_kind : std::uint8_t
{
    idempotent,
    non_idempotent,
    resumable_stream,
    plain_stream, ///< stream that may not be resumed
    with_stages   ///< idempotent request that needs two stages
};

/// One attempt of a caller and what it got.
struct soak_record final
{
    std::string id;
    soak_kind kind = soak_kind::idempotent;
    std::string key;
    boot_clock::time_point sent;
    unsigned status = 0; ///< 0: no complete answer
    std::string body;    ///< also the part of an answer that broke off
    std::string signer;  ///< server that signed the answer; may be empty
    bool has_retry_after = false; ///< a refusal said when

    /// Takes the answer, or what came of it.
    void set_answer(const std::optional<text_response>& answer,
                    const std::string& partial);
};

} // namespace mangolink::test
