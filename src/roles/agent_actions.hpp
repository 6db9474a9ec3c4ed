#pragma once

#include "request/backend_call.hpp"

#include <string>

namespace mangolink::wire
{
class envelope;
}

namespace mangolink
{

/// Interface through which agent_core acts on its environment. Called on the
/// thread of the core.
class agent_actions
{
public:
    virtual ~agent_actions() = default;

    /// Sends a message to the entry connected through this route. The message
    /// is dropped if the route no longer exists.
    virtual void send(const std::string& route, wire::envelope& message) = 0;

    /// Starts a call at the backend server.
    virtual void start_call(backend_call call) = 0;

    /// Cancels a call. No further event of the call follows.
    virtual void cancel_call(call_id id) = 0;
};

} // namespace mangolink
