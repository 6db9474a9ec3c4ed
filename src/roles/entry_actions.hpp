#pragma once

#include "request/run_actions.hpp"

#include <string>

namespace mangolink
{

/// What an entry's core asks of its surroundings. Called on its thread.
class entry_actions : public run_actions
{
public:
    /// Opens a link to an agent. Messages may be sent at once.
    virtual void connect(member_id id, const std::string& address) = 0;

    /// Closes the link; messages not yet sent are dropped.
    virtual void disconnect(member_id id, const std::string& address) = 0;
};

} // namespace mangolink
