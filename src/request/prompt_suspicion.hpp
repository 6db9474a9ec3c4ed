#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace mangolink
{

/// How far the answer to a request had come when its server ended.
enum class crash_phase : std::uint8_t
{
    before_output,
    amid_answer ///< after output
};

/// End of a server that worked on a request and had not completed its answer.
struct prompt_crash final
{
    std::uint64_t server_start = 0; ///< identifies the start of the server
    std::uint64_t request = 0;      ///< own part of the request
    boot_clock::time_point at;
    crash_phase phase = crash_phase::before_output;
    milliseconds after{0}; ///< since the request was sent to the server
};

/// Crashes closer to each other than this count as one.
constexpr milliseconds min_crash_distance{200};

inline bool same_moment(const prompt_crash& a, const prompt_crash& b)
{
    return std::chrono::abs(a.at - b.at) < min_crash_distance;
}

/// Returns whether two crashes may come from the end of one server, or of
/// several together.
inline bool same_end(const prompt_crash& a, const prompt_crash& b)
{
    return a.server_start == b.server_start || same_moment(a, b);
}

/// The latest evidence that a part is sound. A part may crash a server at any
/// point of its answer, so that output clears only what happens before output,
/// and a complete answer clears all.
struct prompt_clearance final
{
    std::optional<boot_clock::time_point> output;     ///< for a request
    std::optional<boot_clock::time_point> completion; ///< of an answer

    bool empty() const { return !output && !completion; }

    /// Returns whether the evidence is as late as the crash and rules the part
    /// out as its cause.
    bool clears(const prompt_crash& crash) const
    {
        const auto& evidence =
            crash.phase == crash_phase::before_output ? output : completion;
        return crash.at <= evidence.value_or(boot_clock::time_point::min());
    }
};

/// What is known of a part that may crash servers. Processes exchange it.
struct prompt_suspicion final
{
    std::uint64_t part = 0;
    std::vector<prompt_crash> crashes; ///< in the order of their times
    prompt_clearance cleared;
    /// When a request with the part was last seen; set if it is quarantined.
    std::optional<boot_clock::time_point> last_request;
};

} // namespace mangolink
