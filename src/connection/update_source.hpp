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

/// Tells other processes what this one reads from the platform. Used by one
/// thread.
class update_source final
{
public:
    update_source(asio::io_context& io, const gateway_state& state,
                  const gateway_state_updater& updater,
                  const store_reader_activation& activation);

    /// Returns the answer to a question once something differs from what the
    /// asker knows, its wait is over, or this process is no longer sure of
    /// what it knows; nothing when it does not read the platform itself or
    /// the question can't be read.
    asio::awaitable<std::optional<std::string>> answer(std::string question);

    /// Takes a change of what is published.
    void changed();

private:
    asio::io_context& io_;
    const gateway_state& state_;
    const gateway_state_updater& updater_;
    const store_reader_activation& activation_;
    std::vector<std::shared_ptr<asio::steady_timer>> waiting_;
};

} // namespace mangolink
