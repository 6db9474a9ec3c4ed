#pragma once

#include "base/clock.hpp"

#include <functional>

namespace mangolink
{

struct gateway_route;

/// When the server of an attempt counts as silent, and what follows. Silence
/// does not end the attempt: a sound server may go on.
struct attempt_limits final
{
    milliseconds first_byte{0};
    milliseconds between_events{0}; ///< between two complete events
    std::function<void()> on_silence;
    std::function<void()> on_progress; ///< the server goes on
};

/// Returns the limits of an attempt on a route, without what follows silence.
/// `remaining`: time left; `longest`: limit where silence has no consequence.
attempt_limits silence_limits(const gateway_route& route,
                              milliseconds remaining, milliseconds longest);

} // namespace mangolink
