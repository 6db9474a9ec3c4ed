#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace mangolink::test
{

/// Kinds of requests that the callers send.
enum class soak_kind : std::uint8_t
{
    idempotent,
    non_idempotent,
    resumable_stream,
    plain_stream, ///< stream that may not be resumed
    with_stages   ///< idempotent request that needs two stages
};

/// Request of a caller and the answer to it.
struct soak_record final
{
    std::string id;
    soak_kind kind = soak_kind::idempotent;
    std::string key;
    std::string part;        ///< of the prompt; empty: no prompt
    std::size_t gateway = 0; ///< that the request was sent to
    boot_clock::time_point sent;
    unsigned status = 0;          ///< 0: no complete answer
    std::string body;             ///< may be an incomplete answer
    std::string signer;           ///< server that signed the answer, if any
    bool has_retry_after = false; ///< the answer has Retry-After
    bool quarantined = false;     ///< refused for a part of the prompt

    /// Sets the fields of the answer; `partial` is the body received of an
    /// incomplete one.
    void set_answer(const std::optional<text_response>& answer,
                    const std::string& partial);
};

} // namespace mangolink::test
