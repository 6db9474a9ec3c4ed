#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

struct prompt_parts;

/// Settings of a prompt quarantine.
struct prompt_quarantine_settings final
{
    bool enabled = true;
    /// A part is released after this time without a request for it.
    milliseconds quiet_time{600'000};
};

/// End of a server that worked on a request and had given no output for it.
struct prompt_crash final
{
    std::uint64_t server_start = 0; ///< identifies the start of the server
    std::uint64_t request = 0;      ///< own part of the request
    boot_clock::time_point at;
};

/// What is known of a part that may crash servers. Processes exchange it.
struct prompt_suspicion final
{
    std::uint64_t part = 0;
    std::vector<prompt_crash> crashes; ///< in the order of their times
    /// When a server last gave output for a request with the part.
    std::optional<boot_clock::time_point> cleared;
    /// When a request with the part was last seen; set if it is quarantined.
    std::optional<boot_clock::time_point> last_request;
};

/// Part whose requests are refused.
struct quarantined_part final
{
    std::uint64_t part = 0;
    boot_clock::time_point since; ///< in this process
    boot_clock::time_point last_request;
    std::size_t crashes = 0;
};

/// What happened lately to the requests of a process.
struct prompt_outcomes final
{
    double outputs = 0; ///< number for which a server gave output
    double crashes = 0; ///< number under which a server ended before
    std::optional<boot_clock::time_point> last_output;
};

/// Finds the parts of prompts that crash the servers which work on them, so
/// that further requests with such a part are refused.
///
/// The end of a server casts suspicion on the parts of all requests for which
/// it had given no output yet. Output for any request with a part clears the
/// part. A part is quarantined after crashes of several starts of servers,
/// apart in time and under different requests, between which other requests had
/// output: as many as a sound part is unlikely to meet in a row, given how
/// often servers end under the requests of all processes. Crashes that a
/// quarantined part explains cast suspicion on no other.
///
/// Processes exchange their suspicions, in any order and repeatedly, and so
/// reach the same decision. The number of parts is bounded. Not thread-safe.
class prompt_quarantine final
{
public:
    explicit prompt_quarantine(prompt_quarantine_settings settings);

    /// Turns the quarantine on or off, which releases and forgets everything.
    void set_enabled(bool enabled);

    /// Returns the quarantined part of a prompt, or nothing.
    std::optional<std::uint64_t> find(const prompt_parts& prompt) const;

    /// Records that a request with a quarantined part arrived.
    void record_request(std::uint64_t part, boot_clock::time_point now);

    /// Records that a server ended under a request without output.
    void record_crash(const prompt_parts& prompt, std::uint64_t server_start,
                      boot_clock::time_point now);

    /// Records that a server gave output for a request.
    void record_output(const prompt_parts& prompt, boot_clock::time_point now);

    /// Adds what another process knows.
    void merge(const prompt_suspicion& other, boot_clock::time_point now);

    /// Returns the recent outcomes of this process.
    prompt_outcomes outcomes(boot_clock::time_point now) const;

    /// Replaces the recent outcomes of another process.
    void set_outcomes_of(const std::string& process,
                         const prompt_outcomes& outcomes,
                         boot_clock::time_point now);

    /// Removes what is too old.
    void expire(boot_clock::time_point now);

    /// Returns what to tell other processes next: quarantined parts and those
    /// that changed lately, with `all` also others, a few at a time in turn.
    std::vector<prompt_suspicion> report(bool all, boot_clock::time_point now);

    /// Returns the quarantined parts.
    std::vector<quarantined_part> quarantined() const;

    /// Returns the number of parts under suspicion, quarantined ones included.
    std::size_t suspected() const { return records_.size(); }

    /// Returns a number that rises when a part is quarantined or released.
    std::uint64_t changes() const { return changes_; }

    const prompt_quarantine_settings& settings() const { return settings_; }

private:
    using time_point = boot_clock::time_point;

    struct record final
    {
        std::vector<prompt_crash> crashes;
        std::optional<time_point> cleared;
        std::optional<time_point> since; ///< set while quarantined
        time_point last_request;
        time_point changed;
        std::uint64_t reported = 0; ///< number of the last report, 0: none
    };

    /// Numbers that halve in a fixed time.
    class decaying_outcomes final
    {
    public:
        void set(const prompt_outcomes& value, time_point now);
        prompt_outcomes value(time_point now) const;

    private:
        prompt_outcomes value_;
        time_point at_;
    };

    /// Times of the last output by part, of which the older ones are forgotten.
    class output_times final
    {
    public:
        void add(std::uint64_t part, time_point time);
        std::optional<time_point> find(std::uint64_t part) const;

    private:
        absl::flat_hash_map<std::uint64_t, time_point> newer_;
        absl::flat_hash_map<std::uint64_t, time_point> older_;
    };

    record* find_record(std::uint64_t part);
    record& record_of(std::uint64_t part);
    void add_crash(std::uint64_t part, const prompt_crash& crash,
                   time_point now);
    void clear(std::uint64_t part, record& known, time_point at,
               time_point now);
    bool is_explained(const prompt_crash& crash) const;
    bool is_guilty(std::uint64_t part, const record& known,
                   time_point now) const;
    void quarantine(std::uint64_t part, record& known, time_point now);
    void release(std::uint64_t part, record& known, time_point now);
    void forget_explained_crashes();
    prompt_outcomes total_outcomes(time_point now) const;
    bool expired(const record& known, time_point now) const;
    void make_room();

    prompt_quarantine_settings settings_;
    absl::flat_hash_map<std::uint64_t, record> records_;
    output_times outputs_;
    absl::flat_hash_set<std::uint64_t> quarantined_; ///< their parts
    std::uint64_t changes_ = 0;
    std::uint64_t reports_ = 0;
    decaying_outcomes outcomes_;
    absl::flat_hash_map<std::string, decaying_outcomes> outcomes_of_others_;
};

} // namespace mangolink
