#pragma once

#include "../state/RouterState.h"

#include "snowrudder_net/snowrudder_net.h"

namespace snowrudder
{

/** Handles one HTTP request of a caller, the load balancer or another node: identifies the caller's client account and
    dispatches the request by its path.
*/
auto handleExchange (RouterState& state, Worker& worker, Exchange& exchange) -> Task<void>;

} // namespace snowrudder
