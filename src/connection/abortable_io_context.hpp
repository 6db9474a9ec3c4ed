#pragma once

#include "connection/asio_types.hpp"

namespace mangolink
{

/// Context whose pending work can be dropped while what that work refers to
/// still exists: coroutines hold on to objects of their owner. Not final, since
/// Asio derives from a context to examine it.
class abortable_io_context : public asio::io_context
{
public:
    using asio::io_context::io_context;

    /// Destroys every coroutine and handler that waits. The context must not
    /// run afterwards; its timers and sockets may still be destroyed.
    void destroy_pending_handlers() { shutdown(); }
};

} // namespace mangolink
