#pragma once

#include "base/incarnation.hpp"
#include "request/backend_call.hpp"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace mangolink
{

/// State of an idempotency key at an agent.
enum class key_state : std::uint8_t
{
    fresh,         ///< may run now, and is recorded as running
    running,       ///< an earlier submission is running
    ended,         ///< an earlier submission has ended; the answer is stored
    body_mismatch, ///< already used with another body
    not_owned,     ///< belongs to another process or is malformed
    expired,       ///< past its expiry
    table_full     ///< the limit of stored keys is reached
};

/// Stores the idempotency keys owned by this process until they expire. Used
/// only on the thread of the agent's core.
class key_registry final
{
public:
    /// Accepts only keys issued for this backend server and incarnation.
    key_registry(std::string server, incarnation own_incarnation,
                 std::size_t max_keys);

    /// Claims a key for a run. Only `fresh` permits the run.
    key_state claim(const std::string& key, std::string_view body,
                    std::chrono::system_clock::time_point now);

    /// Removes a claim whose request is proven not to have run.
    void release(const std::string& key);

    /// Stores the answer of the request that claimed the key.
    void complete(const std::string& key, backend_answer answer);

    /// Returns the stored answer of a key in state `ended`.
    const backend_answer& answer(const std::string& key) const;

    /// Removes expired keys whose request has ended.
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
