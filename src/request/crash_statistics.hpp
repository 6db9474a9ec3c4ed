#pragma once

#include "base/clock.hpp"
#include "request/prompt_suspicion.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

struct prompt_parts;

/// What happened lately to the requests of a process.
struct prompt_outcomes final
{
    double outputs = 0;     ///< number for which a server gave output
    double crashes = 0;     ///< number under which a server ended before
    double completions = 0; ///< number answered completely
    double cuts = 0;        ///< number cut off by a server's end after output
    double answer_seconds = 0; ///< spent on the completed, crashed and cut ones
    std::optional<boot_clock::time_point> last_output;
    std::optional<boot_clock::time_point> last_completion;
};

/// How often servers end under the requests of all processes. Numbers of
/// requests halve in a fixed time. Not thread-safe.
class crash_statistics final
{
public:
    void add_output(boot_clock::time_point now);
    void add_completion(milliseconds answer_time, boot_clock::time_point now);
    void add_crash(const prompt_parts& prompt, const prompt_crash& crash);

    /// Returns the outcomes of this process.
    prompt_outcomes own(boot_clock::time_point now) const
    {
        return own_.value(now);
    }

    /// Replaces the outcomes of another process.
    void set_outcomes_of(const std::string& process,
                         const prompt_outcomes& outcomes,
                         boot_clock::time_point now);

    /// Returns the outcomes of all processes.
    prompt_outcomes total(boot_clock::time_point now) const;

    /// Returns the number of crashes before output that a sound part is
    /// unlikely to meet in a row. `own_crashes`: those of the part itself,
    /// which do not count.
    std::size_t unlikely_crashes(std::size_t own_crashes,
                                 boot_clock::time_point now) const;

    /// The same for crashes at any point of an answer. What other requests met
    /// at the ends of servers that the part was at does not count either.
    std::size_t unlikely_cuts(std::uint64_t part,
                              const std::vector<prompt_crash>& own_crashes,
                              boot_clock::time_point now) const;

    /// Forgets processes without recent outcomes.
    void expire(boot_clock::time_point now);

private:
    class decaying_outcomes final
    {
    public:
        void set(const prompt_outcomes& value, boot_clock::time_point now);
        prompt_outcomes value(boot_clock::time_point now) const;

    private:
        prompt_outcomes value_;
        boot_clock::time_point at_;
    };

    struct recent_crash final
    {
        std::uint64_t server_start = 0;
        boot_clock::time_point at;
        std::vector<std::uint64_t> shared; ///< parts of the request
    };

    /// Returns the share of the recent crashes here that were at an end of a
    /// server which a part was at: one of its crashes or of any request here.
    double share_of(std::uint64_t part,
                    const std::vector<prompt_crash>& crashes,
                    boot_clock::time_point now) const;

    decaying_outcomes own_;
    std::deque<recent_crash> recent_;                            ///< in order
    absl::flat_hash_map<std::string, decaying_outcomes> others_; ///< by process
};

} // namespace mangolink
