#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>
#include <string>

namespace mangolink
{

/// What happened lately to the requests of a process.
struct prompt_outcomes final
{
    double outputs = 0; ///< number for which a server gave output
    double crashes = 0; ///< number under which a server ended before
    std::optional<boot_clock::time_point> last_output;
};

/// How often servers end under the requests of all processes. Numbers of
/// requests halve in a fixed time. Not thread-safe.
class crash_statistics final
{
public:
    void add_output(boot_clock::time_point now);
    void add_crash(boot_clock::time_point now);

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

    /// Returns the number of crashes that a sound part is unlikely to meet in a
    /// row. `own_crashes`: those of the part itself, which do not count.
    std::size_t unlikely_crashes(std::size_t own_crashes,
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

    decaying_outcomes own_;
    absl::flat_hash_map<std::string, decaying_outcomes> others_; ///< by process
};

} // namespace mangolink
