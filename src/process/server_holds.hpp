#pragma once

#include "base/clock.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

struct backend_server;

/// Backend servers that refused a request and stated for how long they want no
/// further ones from this process.
///
/// Unlike an ejection, a hold also binds if all servers are held. It belongs to
/// one start of a server and outlasts the removal of its entry. Not
/// thread-safe.
class server_holds final
{
public:
    using server_pointer = std::shared_ptr<const backend_server>;

    /// Holds this start of a server back. A hold that ends later stays. Returns
    /// whether the server was not held before.
    bool hold(const backend_server& server, milliseconds time,
              boot_clock::time_point now);

    /// Returns the time until the server may be used, rounded up; 0: now.
    milliseconds remaining(const backend_server& server,
                           boot_clock::time_point now) const;

    bool is_held(const backend_server& server, boot_clock::time_point now) const
    {
        return remaining(server, now) > milliseconds(0);
    }

    /// Returns the time until the first of the servers may be used if all are
    /// held, or nothing.
    std::optional<milliseconds>
    remaining_of_all(const std::vector<server_pointer>& servers,
                     boot_clock::time_point now) const;

private:
    struct server_hold final
    {
        std::uint64_t started_ms = 0;
        boot_clock::time_point until;
    };

    absl::flat_hash_map<std::string, server_hold> holds_;
};

} // namespace mangolink
