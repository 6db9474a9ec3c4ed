#pragma once

#include "base/clock.hpp"
#include "connection/asio_types.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangolink
{

class gateway_state_updater;
class gateway_state;
class store_reader_activation;

/// Answers update requests of peers from the state that this process reads from
/// the platform store. Used by one thread.
class update_source final
{
public:
    update_source(asio::io_context& io, const gateway_state& state,
                  const gateway_state_updater& updater,
                  const store_reader_activation& activation);

    /// Returns the encoded response once the state differs from the one in the
    /// request, the requested wait is over, or the entries reach the maximum
    /// age for relaying. Returns nothing if this process does not read the
    /// store itself, has no confirmed state, or cannot decode the request.
    asio::awaitable<std::optional<std::string>>
    handle_request(std::string request);

    /// Wakes waiting requests after a change of published state.
    void changed();

private:
    asio::io_context& io_;
    const gateway_state& state_;
    const gateway_state_updater& updater_;
    const store_reader_activation& activation_;
    std::vector<std::shared_ptr<asio::steady_timer>> waiting_timers_;
};

} // namespace mangolink
