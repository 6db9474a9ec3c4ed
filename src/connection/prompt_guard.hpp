#pragma once

#include "base/clock.hpp"
#include "connection/accepted_request.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

class event_counter;
class metrics_registry;
class prompt_quarantine;
enum class crash_phase : std::uint8_t;
struct backend_server;
struct prompt_outcomes;
struct prompt_parts;
struct prompt_suspicion;
struct quarantined_part;

/// Applies a prompt quarantine to the requests of a process: reports what
/// happens to them, refuses those with a quarantined part, and logs and counts
/// its decisions. Used by one thread.
class prompt_guard final
{
public:
    /// Called after a part was quarantined. `found_here`: by what happened to a
    /// request of this process.
    using quarantine_handler = std::function<void(bool found_here)>;

    /// The references must outlive this object.
    prompt_guard(prompt_quarantine& quarantine, metrics_registry& metrics,
                 quarantine_handler on_quarantined);

    prompt_guard(const prompt_guard&) = delete;
    prompt_guard& operator=(const prompt_guard&) = delete;

    /// Returns whether a prompt has a quarantined part.
    bool is_quarantined(const prompt_parts& prompt) const;

    /// Returns the refusal of a request with a quarantined part, and counts it,
    /// or nothing.
    std::optional<refusal> check(const prompt_parts& prompt);

    /// Records that a server closed its connection before its answer was
    /// complete.
    void record_crash(const prompt_parts& prompt, const backend_server& server,
                      crash_phase phase, milliseconds after_send);

    /// Records that a server gave a complete event or answer.
    void record_output(const prompt_parts& prompt);

    /// Records that a server gave a complete answer.
    void record_completion(const prompt_parts& prompt,
                           milliseconds answer_time);

    /// Records the recent outcomes of another process.
    void record_outcomes(const std::string& process,
                         const prompt_outcomes& outcomes);

    /// Adds what another process knows of a part.
    void merge(const prompt_suspicion& suspicion);

    /// Returns what to tell other processes next; see prompt_quarantine.
    std::vector<prompt_suspicion> report(bool all);
    prompt_outcomes outcomes() const;

    /// Removes what is too old; called periodically.
    void expire();

    /// Returns the quarantined parts as JSON, for operators.
    std::string status_text() const;

    /// Returns the number of quarantined parts.
    std::size_t size() const { return entries_.size(); }

private:
    struct quarantine_entry final
    {
        boot_clock::time_point since;
        std::uint64_t refused = 0;
    };

    void report_changes(bool found_here);
    void report_released(const std::vector<quarantined_part>& current);

    prompt_quarantine& quarantine_;
    quarantine_handler on_quarantined_;
    event_counter& crashes_;
    event_counter& refusals_;
    event_counter& quarantined_;
    event_counter& released_;
    std::uint64_t seen_changes_ = 0;
    absl::flat_hash_map<std::uint64_t, quarantine_entry> entries_; ///< by part
};

} // namespace mangolink
