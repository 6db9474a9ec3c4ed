#pragma once

#include "base/clock.hpp"
#include "request/crash_statistics.hpp"
#include "request/prompt_suspicion.hpp"
#include "request/recent_times.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <optional>
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

/// Part whose requests are refused.
struct quarantined_part final
{
    std::uint64_t part = 0;
    boot_clock::time_point since; ///< in this process
    boot_clock::time_point last_request;
    std::size_t crashes = 0;
};

/// Finds the parts of prompts that crash the servers which work on them, so
/// that further requests with such a part are refused.
///
/// The end of a server casts suspicion on the parts of all requests whose
/// answers it had not completed. A complete answer to any request with a part
/// clears the part; output clears it of crashes before output. A part is
/// quarantined after crashes of several starts of servers, apart in time and
/// under different requests, between which other requests got as far: as many
/// as a sound part is unlikely to meet in a row, given how often servers end
/// under the requests of all processes. Crashes that a quarantined part
/// explains cast suspicion on no other.
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

    /// Records that a server ended under a request.
    void record_crash(const prompt_parts& prompt, const prompt_crash& crash);

    /// Records that a server gave output for a request.
    void record_output(const prompt_parts& prompt, boot_clock::time_point now);

    /// Records that a server completed its answer to a request, some time after
    /// that was sent to it.
    void record_completion(const prompt_parts& prompt, milliseconds answer_time,
                           boot_clock::time_point now);

    /// Adds what another process knows.
    void merge(const prompt_suspicion& other, boot_clock::time_point now);

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

    /// How often servers end under requests, as the other processes report.
    crash_statistics& statistics() { return statistics_; }

    const prompt_quarantine_settings& settings() const { return settings_; }

private:
    using time_point = boot_clock::time_point;

    struct record final
    {
        std::vector<prompt_crash> crashes;
        prompt_clearance cleared;
        std::optional<time_point> since; ///< set while quarantined
        time_point last_request;
        time_point changed;
        std::uint64_t reported = 0; ///< number of the last report, 0: none
    };

    record* find_record(std::uint64_t part);
    record& record_of(std::uint64_t part);
    void add_crash(std::uint64_t part, const prompt_crash& crash,
                   time_point now);
    void clear(const prompt_parts& prompt, const prompt_clearance& evidence,
               time_point now);
    void clear(std::uint64_t part, record& known,
               const prompt_clearance& evidence, time_point now);
    bool ended_before(std::uint64_t server_start, time_point now);
    bool is_explained(const prompt_crash& crash) const;
    bool is_guilty(std::uint64_t part, const record& known,
                   time_point now) const;
    void quarantine(std::uint64_t part, record& known, time_point now);
    void release(std::uint64_t part, record& known, time_point now);
    void forget_explained_crashes();
    bool expired(const record& known, time_point now) const;
    void make_room();

    prompt_quarantine_settings settings_;
    absl::flat_hash_map<std::uint64_t, record> records_;
    recent_times outputs_;                           ///< last output by part
    recent_times completions_;                       ///< the same
    recent_times ends_;                              ///< by start of a server
    absl::flat_hash_set<std::uint64_t> quarantined_; ///< their parts
    std::uint64_t changes_ = 0;
    std::uint64_t reports_ = 0;
    crash_statistics statistics_;
};

} // namespace mangolink
