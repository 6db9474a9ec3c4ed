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

/// Actions that the executor requests. Called on its thread.
class run_actions
{
public:
    virtual ~run_actions() = default;

    /// Sends a message. Returns false if the transport has not accepted it, in
    /// which case it is never sent.
    virtual bool send(member_id to, wire::envelope& message) = 0;

    /// Forwards streamed text to the caller, in order.
    virtual void deliver(const request_id& id, std::string_view text) = 0;

    /// Reports the result of a request to the caller. This is the last call for
    /// the id.
    virtual void finish(const request_id& id, run_result result) = 0;
};

} // namespace mangolink
