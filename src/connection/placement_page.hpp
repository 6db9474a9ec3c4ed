#pragma once

#include "base/clock.hpp"

#include <string>

namespace mangolink
{

class gateway_state;

/// Returns where work may run, as JSON for operators: the evacuated zones, the
/// cold servers with the own share of their rates, and the regions that bind
/// routes and customers.
std::string placement_page(gateway_state& state, boot_clock::time_point now);

} // namespace mangolink
