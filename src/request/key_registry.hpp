#pragma once

#include "base/incarnation.hpp"
#include "request/backend_call.hpp"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace mangolink
{

/// What an agent knows about an idempotency key.
enum class key_state : std::uint8_t
{
    fresh,         ///< may run now; recorded as running
    running,       ///< an earlier submission runs
    ended,         ///< an earlier submission ended; its answer is kept
    body_mismatch, ///< used before with another body
    not_owned,     ///< names another process or is not readable
    expired,       ///< its time is over
    table_full     ///< no room to remember another key
};

/// Idempotency keys owned by this process, until each expires. Used by the
/// thread of the agent's core only.
class key_registry final
{
public:
    /// Keys name the backend server and the incarnation given here.
    key_registry(std::string server, incarnation own_incarnation,
                 std::size_t max_keys);

    /// Claims a key for a run. Only `fresh` permits the run.
    key_state claim(const std::string& key, std::string_view body,
                    std::chrono::system_clock::time_point now);

    /// Forgets a claim whose run was proven not to have run.
    void release(const std::string& key);

    /// Keeps the answer of the run that claimed the key.
    void complete(const std::string& key, backend_answer answer);

    /// Returns the kept answer of a key in state `ended`.
    const backend_answer& answer(const std::string& key) const;

    /// Drops expired keys.
    void expire(std::chrono::system_clock::time_point now);

private:
    struct key_record final
    {
        std::uint64_t body_digest = 0;
        std::chrono::sys_seconds expiry;
        bool ended = false;
        backend_answer answer;
    };

    std::string server_;
    incarnation own_incarnation_;
    std::size_t max_keys_;
    absl::flat_hash_map<std::string, key_record> records_;
};

} // namespace mangolink
