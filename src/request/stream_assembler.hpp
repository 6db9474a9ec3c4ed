#pragma once

#include "base/hash.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace mangolink
{

/// Puts the chunks of one attempt in order and proves that all came.
///
/// Late, repeated and reordered chunks are absorbed. One instance serves one
/// attempt, so that two attempts can never be spliced.
class stream_assembler final
{
public:
    /// Takes a chunk; returns the text that is now next in order, which is
    /// empty when an earlier chunk is missing or this one is a repeat.
    std::string add(std::uint32_t sequence, std::string data);

    /// Takes the final mark: number of chunks and the digest of their data.
    void mark_end(std::uint32_t chunks, std::uint64_t digest);

    /// Returns whether every chunk up to the final mark was released.
    bool ended() const;

    /// Returns whether the released chunks have the promised digest.
    bool intact() const
    {
        return ended() && digest_.value() == *expected_digest_;
    }

    /// Returns how many chunks were released.
    std::uint32_t released() const { return next_; }

private:
    std::map<std::uint32_t, std::string> out_of_order_;
    running_digest digest_;
    std::uint32_t next_ = 0;
    std::optional<std::uint32_t> expected_count_;
    std::optional<std::uint64_t> expected_digest_;
};

} // namespace mangolink
