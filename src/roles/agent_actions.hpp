#pragma once

#include "request/backend_call.hpp"

#include <string>

namespace mangolink::wire
{
class envelope;
}

namespace mangolink
{

/// What an agent's core asks of its surroundings. Called on its thread.
class agent_actions
{
public:
    virtual ~agent_actions() = default;

    /// Sends a message to the entry that holds this route. A route that is
    /// gone drops it.
    virtual void send(const std::string& route, wire::envelope& message) = 0;

    /// Starts a call at the backend server.
    virtual void start_call(backend_call call) = 0;

    /// Stops a call. No further event of the call follows.
    virtual void cancel_call(call_id id) = 0;
};

} // namespace mangolink
