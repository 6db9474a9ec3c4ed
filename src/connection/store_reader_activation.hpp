#pragma once

#include "connection/asio_types.hpp"

namespace mangolink
{

/// Controls when the reader of the platform store calls the store: always, or,
/// while another process passes on what it reads, only for a new configuration.
/// Used by one thread.
class store_reader_activation final
{
public:
    explicit store_reader_activation(asio::io_context& io);

    /// Returns whether this process reads the store itself.
    bool is_active() const { return active_; }

    void set_active(bool is_active);

    /// Asks for one read of the configuration.
    void want_configuration();

    /// Tells that the configuration was read.
    void configuration_read() { configuration_wanted_ = false; }

    /// Waits until this process reads the store itself.
    asio::awaitable<void> until_active();

    /// Waits for that, or until the configuration is wanted.
    asio::awaitable<void> until_configuration_wanted();

private:
    asio::awaitable<void> wait();

    asio::steady_timer wake_;
    bool active_ = true;
    bool configuration_wanted_ = false;
};

} // namespace mangolink
