#pragma once

#include "connection/asio_types.hpp"

namespace mangolink
{

/// Tells a reader of the platform when its calls are needed: always, or, while
/// another process passes on what it reads, only for a new configuration.
/// Used by one thread.
class reading_turn final
{
public:
    explicit reading_turn(asio::io_context& io);

    /// Returns whether this process follows the platform itself.
    bool reads() const { return reads_; }

    void set_reads(bool reads);

    /// Asks for one read of the configuration.
    void want_configuration();

    /// Tells that the configuration was read.
    void configuration_read() { configuration_wanted_ = false; }

    /// Waits until this process follows the platform itself.
    asio::awaitable<void> until_reads();

    /// Waits for that, or until the configuration is wanted.
    asio::awaitable<void> until_configuration_wanted();

private:
    asio::awaitable<void> wait();

    asio::steady_timer wake_;
    bool reads_ = true;
    bool configuration_wanted_ = false;
};

} // namespace mangolink
