#pragma once

#include "base/hash.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace mangolink
{

/// Reorders the chunks of one attempt and verifies that the stream is complete.
///
/// Accepts delayed, duplicate and reordered chunks. Each instance belongs to
/// one attempt, so that streams of two attempts are never mixed.
class stream_assembler final
{
public:
    /// Adds a chunk. Returns the text that is now available in order, which is
    /// empty if an earlier chunk is missing or this one is a duplicate.
    std::string add(std::uint32_t sequence, std::string data);

    /// Records the end of the stream: number of chunks and digest of their
    /// data.
    void mark_end(std::uint32_t chunks, std::uint64_t digest);

    /// Returns whether all chunks of the ended stream were released.
    bool ended() const;

    /// Returns whether the released chunks have the expected digest.
    bool intact() const
    {
        return ended() && digest_.value() == *expected_digest_;
    }

    /// Returns the number of released chunks.
    std::uint32_t released() const { return next_; }

private:
    std::map<std::uint32_t, std::string> out_of_order_;
    running_digest digest_;
    std::uint32_t next_ = 0;
    std::optional<std::uint32_t> expected_count_;
    std::optional<std::uint64_t> expected_digest_;
};

} // namespace mangolink
