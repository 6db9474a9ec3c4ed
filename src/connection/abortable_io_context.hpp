#pragma once

#include "connection/asio_types.hpp"

namespace mangolink
{

/// io_context whose pending handlers can be destroyed while the objects they
/// refer to still exist: suspended coroutines refer to objects of their owner.
/// Not final, because type traits of Asio derive from a context.
class abortable_io_context : public asio::io_context
{
public:
    using asio::io_context::io_context;

    /// Destroys all suspended coroutines and pending handlers. The context must
    /// not run afterwards; its timers and sockets may still be destroyed.
    void destroy_pending_handlers() { shutdown(); }
};

} // namespace mangolink
