#pragma once

#include "standins/standin_server.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace mangolink::test
{

/// How the stand-in answers calls.
enum class store_mode : std::uint8_t
{
    serving,
    busy,        ///< 503
    unresponsive ///< no answer
};

/// How the stand-in answers watches.
enum class watch_mode : std::uint8_t
{
    waiting,       ///< once there is an event or the time is over
    ended_at_once, ///< at once, also without an event
    garbled        ///< at once, with bytes that are no JSON
};

/// Stand-in for the key-value store of the platform: single keys, paged ranges,
/// watches, a history that can be compacted, and a return from an older copy.
/// Thread safe.
class store_standin final
{
public:
    store_standin();
    ~store_standin();

    store_standin(const store_standin&) = delete;
    store_standin& operator=(const store_standin&) = delete;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// Drops the history; watches from earlier revisions get 410.
    void compact();

    /// Copies the items, the history and the revision.
    void take_copy();

    /// Continues from the copy in a new era, with the given values written
    /// again before any call is answered. Pending watches wait on; those from a
    /// revision that no longer exists get 410.
    void come_back(const std::vector<std::pair<std::string, std::string>>&
                       written_again = {});

    /// Comes back before the next page of a list that is not its first.
    void come_back_between_pages(
        std::vector<std::pair<std::string, std::string>> written_again);

    /// Sends no era, like older stores.
    void hide_era() { sends_era_ = false; }

    void set_mode(store_mode mode);

    /// Delays all answers, like a congested link.
    void set_latency(milliseconds latency) { latency_ms_ = latency.count(); }

    /// Leaves every nth call unanswered; 0 answers all.
    void drop_answer_every(unsigned calls) { drop_answer_every_ = calls; }

    /// Sends bytes of keys that are not ASCII as escapes of lone surrogates,
    /// like writers whose strings are UTF-16, instead of as they are.
    void escape_key_bytes() { escapes_key_bytes_ = true; }

    /// Lists the items under this key without a key.
    void hide_key(const std::string& key);

    /// Starts each page of a list at its first item.
    void repeat_first_page() { repeats_first_page_ = true; }

    void set_watch_mode(watch_mode mode) { watch_mode_ = mode; }

    std::string address() const { return server_.address().text(); }

    /// Returns the number of calls received.
    std::uint64_t calls() const { return calls_; }

private:
    struct item final
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct change final
    {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<item> new_item; ///< nullopt if removed
    };
    struct store_state final
    {
        std::map<std::string, item> items;
        std::vector<change> history;
        std::uint64_t revision = 1;
        std::uint64_t oldest_revision = 1;
    };
    struct pending_watch final
    {
        std::string prefix;
        std::uint64_t after = 0;
        standin_server::reply reply;
        boot_clock::time_point deadline;
    };

    void restore(
        const std::vector<std::pair<std::string, std::string>>& written_again);
    standin_server::reply delayed(standin_server::reply reply) const;
    void handle(const text_request& request, standin_server::reply reply);
    void write(const std::string& key, const std::string& value);
    scripted_answer answer(unsigned status, const std::string& body) const;
    scripted_answer read(const std::string& key) const;
    scripted_answer range(const std::string& prefix,
                          const std::string& after) const;
    std::optional<scripted_answer> events(const std::string& prefix,
                                          std::uint64_t after,
                                          bool timed_out) const;
    std::string entry_json(const std::string& key, const item& entry) const;
    std::string with_key(const nlohmann::json& fields,
                         const std::string& key) const;
    void answer_watches();
    void check_watches();

    mutable std::mutex mutex_;
    store_state state_;
    store_state copy_;
    std::uint64_t era_ = 1;
    std::optional<std::vector<std::pair<std::string, std::string>>>
        return_between_pages_; ///< written again then
    std::atomic<bool> sends_era_{true};
    std::atomic<bool> escapes_key_bytes_{false};
    std::atomic<bool> repeats_first_page_{false};
    std::atomic<watch_mode> watch_mode_{watch_mode::waiting};
    std::string hidden_key_;
    std::vector<pending_watch> watches_;
    store_mode mode_ = store_mode::serving;
    std::atomic<unsigned> drop_answer_every_{0};
    std::atomic<std::int64_t> latency_ms_{0};
    std::atomic<std::uint64_t> calls_{0};
    standin_server server_; ///< last, as its thread uses the other members
};

} // namespace mangolink::test
