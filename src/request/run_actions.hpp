#pragma once

#include "process/member.hpp"
#include "request/request_id.hpp"

#include <string>
#include <string_view>

namespace mangolink::wire
{
class envelope;
}

namespace mangolink
{

struct run_result;

/// What the executor asks of its surroundings. Called on its thread.
class run_actions
{
public:
    virtual ~run_actions() = default;

    /// Hands a message to the transport. False proves that it was not handed
    /// over and never will be.
    virtual bool send(member_id to, wire::envelope& message) = 0;

    /// Passes streamed text to the caller, in order.
    virtual void deliver(const request_id& id, std::string_view text) = 0;

    /// Gives the caller the end of its request. The last call for the id.
    virtual void finish(const request_id& id, run_result result) = 0;
};

} // namespace mangolink
