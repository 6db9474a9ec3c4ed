#pragma once

#include "request/run_actions.hpp"

#include <string>

namespace mangolink
{

/// Interface through which entry_core acts on its environment. Called on the
/// thread of the core.
class entry_actions : public run_actions
{
public:
    /// Opens a connection to an agent. Messages may be sent immediately.
    virtual void connect(member_id id, const std::string& address) = 0;

    /// Closes the connection; unsent messages are dropped.
    virtual void disconnect(member_id id, const std::string& address) = 0;
};

} // namespace mangolink
