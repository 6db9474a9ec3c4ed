#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace mangolink
{

using precise_milliseconds = std::chrono::duration<double, std::milli>;

/// Prompt of a request, as far as it determines the work of reading it.
struct prompt_size final
{
    std::uint64_t prefix = 0;        ///< hash of the shared parts; 0: none
    std::uint32_t shared_tokens = 0; ///< length of the shared parts
    std::uint32_t own_tokens = 0;    ///< length of the part after them
};

/// Prompt that this process sent to a server.
struct sent_prompt final
{
    std::uint64_t server = 0; ///< hash of its id and start
    std::uint64_t prefix = 0;
    double tokens = 0;       ///< expected to be read by the server
    bool certain = false;    ///< known from earlier sends, not assumed
    bool has_output = false; ///< the first event has come
    boot_clock::time_point sent;
    precise_milliseconds wait{0};     ///< for other prompts, as expected
    precise_milliseconds distance{0}; ///< round trip to the server
    precise_milliseconds expected{0}; ///< until the first event
};

/// Prompt tokens that one process has sent to a server and that the server has
/// not read yet.
struct server_prompt_work final
{
    std::uint64_t server = 0; ///< hash of its id and start
    std::uint32_t tokens = 0;
};

/// Model of the prompts that servers have still to read.
///
/// A server reads prompts at a rate that is measured from the time to the first
/// events. The sends of this process are known exactly; those of others are
/// known from their reports, which decay at that rate and expire, so that a
/// silent process counts for nothing soon. What one process can report is
/// bounded by what the others report. Servers whose first events come later
/// than expected are considered occupied for a moment by work that nobody
/// reported. Not thread-safe.
class prompt_work final
{
public:
    prompt_work();

    /// Returns whether a server is known to have the prefix cached, because it
    /// read it lately for this process.
    bool is_cached(std::uint64_t server, std::uint64_t prefix,
                   boot_clock::time_point now) const;

    /// Returns the time a server takes to read a number of tokens.
    precise_milliseconds read_time(double tokens) const
    {
        return precise_milliseconds(tokens * ms_per_token_);
    }

    /// Returns how long a prompt that is sent to a server now waits for others.
    precise_milliseconds wait(std::uint64_t server,
                              boot_clock::time_point now) const;

    /// Returns whether nothing is known of any server.
    bool empty() const { return servers_.empty() && reported_.empty(); }

    /// Returns the number of streams of this process that a server runs.
    std::uint32_t running(std::uint64_t server) const;

    /// Records that a prompt is sent. `distance`: the round trip.
    sent_prompt add(std::uint64_t server, const prompt_size& size, bool cached,
                    precise_milliseconds distance, boot_clock::time_point now);

    /// Records that the first event of an answer came, so that the prompt and
    /// those sent to the server before it are read.
    void record_output(sent_prompt& prompt, boot_clock::time_point now);

    /// Records that a prompt is no longer worked on.
    void remove(const sent_prompt& prompt, boot_clock::time_point now);

    /// Returns the work of this process for a report to others: a bounded
    /// number of servers, those with the most tokens first.
    std::vector<server_prompt_work> report(boot_clock::time_point now) const;

    /// Sets a function that is called when this process sends a prompt that is
    /// long enough to be told to others at once.
    void set_listener(std::function<void(const server_prompt_work&)> listener)
    {
        on_long_prompt_ = std::move(listener);
    }

    /// Adds a prompt that another process told of when it sent it.
    void add_reported(std::string_view author, const server_prompt_work& work,
                      boot_clock::time_point now);

    /// Replaces what another process reported.
    void merge(std::string_view author,
               const std::vector<server_prompt_work>& work,
               boot_clock::time_point now);

    /// Removes what is too old to matter; called periodically.
    void expire(boot_clock::time_point now);

    /// Returns the tokens that this process has sent and that are not read yet.
    double unread_tokens(boot_clock::time_point now) const;

private:
    struct server_record final
    {
        double sent_tokens = 0;  ///< of the prompts without output
        double level_tokens = 0; ///< of these, not read yet at level_time
        boot_clock::time_point level_time;
        std::uint32_t waiting = 0;     ///< prompts without output
        std::uint32_t running = 0;     ///< prompts with output
        precise_milliseconds delay{0}; ///< beyond what was expected
        boot_clock::time_point delay_time;
    };
    struct reported_work final
    {
        std::uint64_t author = 0;
        double tokens = 0;
        boot_clock::time_point at;
    };
    struct author_record final
    {
        absl::InlinedVector<std::uint64_t, 8> servers;
        double total_tokens = 0; ///< smoothed
        boot_clock::time_point last;
    };

    double own_tokens(const server_record& record,
                      boot_clock::time_point now) const;
    double reported_tokens(std::uint64_t server,
                           boot_clock::time_point now) const;
    static precise_milliseconds delay_of(const server_record& record,
                                         boot_clock::time_point now);
    void learn_rate(const sent_prompt& prompt, precise_milliseconds time);
    double trusted_fraction(double total_tokens);
    void remove_reported(std::uint64_t author, std::uint64_t server);

    absl::flat_hash_map<std::uint64_t, server_record> servers_;
    absl::flat_hash_map<std::uint64_t, absl::InlinedVector<reported_work, 2>>
        reported_; ///< by server
    absl::flat_hash_map<std::uint64_t, author_record> authors_;
    absl::flat_hash_map<std::uint64_t, boot_clock::time_point>
        cached_;                 ///< by server and prefix
    std::vector<double> totals_; ///< scratch space

    /// Lower bits of the keys of servers_ and reported_, and of cached_. A
    /// choice asks for many servers, few of which have work.
    std::bitset<1U << 12U> server_bits_;
    std::bitset<1U << 16U> cached_bits_;
    std::function<void(const server_prompt_work&)> on_long_prompt_;

    /// Regression of the time to the first event on the tokens read before it.
    double mean_tokens_;
    double mean_ms_;
    double variance_;
    double covariance_;
    double ms_per_token_;
    double typical_tokens_; ///< smoothed size of the prompts of this process
};

} // namespace mangolink
