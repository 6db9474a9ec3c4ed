#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace mangolink
{

/// Rate limit of a server that names none.
constexpr double no_rate_limit = std::numeric_limits<double>::infinity();

/// Rate limit that one start of a server named, or its end.
struct server_limit_news final
{
    std::uint64_t server_start = 0; ///< hash of the server's id and start
    double per_second = no_rate_limit;

    /// A limit counts from the arrival of the answer that names it, its end
    /// from the sending of the request whose answer names none. So an answer
    /// that overtakes another one does not end a limit.
    boot_clock::time_point at;
};

/// Effect of news on a server's limit.
enum class server_limit_change : std::uint8_t
{
    none,
    named,   ///< the server had no limit
    changed, ///< it had another limit
    ended
};

/// Rate limits that servers named, to this process or to others. The newest
/// news of a start of a server counts, in whichever order they come. Bounded;
/// not thread-safe.
class server_limit_table final
{
public:
    /// Adds news. `first_hand`: from an answer that this process received.
    server_limit_change add(const server_limit_news& news, bool first_hand);

    /// Returns the limit of a start of a server, or nothing.
    std::optional<double> find(std::uint64_t server_start) const;

    /// Returns the news for the next message to other processes: those that
    /// this process received lately. `all`: also some of the others, in turn.
    std::vector<server_limit_news> report(bool all, boot_clock::time_point now);

    /// Removes what is too old to matter.
    void expire(boot_clock::time_point now);

    /// Returns the number of servers that have a limit.
    std::size_t limited() const { return limited_; }

    /// Returns all limits in force, for operators.
    std::vector<server_limit_news> limits() const;

private:
    struct entry final
    {
        server_limit_news news;
        boot_clock::time_point first_hand_at; ///< default: never
    };

    void remove_oldest();

    absl::flat_hash_map<std::uint64_t, entry> entries_;
    std::size_t limited_ = 0;
    std::uint64_t last_reported_ = 0; ///< server start
};

} // namespace mangolink
