#pragma once

#include "connection/asio_types.hpp"

#include <functional>

namespace mangolink
{

/// Starts a coroutine that serves as long as the process runs. An exception
/// ends one run of it: it is logged, and the coroutine starts again after a
/// pause. `name`: in the log; a string literal.
void spawn_service(asio::io_context& io, const char* name,
                   std::function<asio::awaitable<void>()> run);

/// Runs the handlers of a context until it stops. An exception of a handler
/// ends the work that the handler belongs to, is logged, and ends no other.
void run_handlers(asio::io_context& io);

} // namespace mangolink
