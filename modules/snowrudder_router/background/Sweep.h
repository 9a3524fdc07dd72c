#pragma once

#include "../state/RouterState.h"

namespace snowrudder
{

/** Checks all open requests several times a second. Ends those whose caller has not resumed in time or whose deadline has
    passed, moves those whose replica is leaving, drops expired answers, and updates the capacity of the queues. Never
    returns.
*/
auto sweepRequests (RouterState& state, Worker& worker) -> Task<void>;

} // namespace snowrudder
