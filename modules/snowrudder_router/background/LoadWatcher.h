#pragma once

#include "../state/RouterState.h"

namespace snowrudder
{

/** Polls the load of every replica. A replica that reports that it is leaving gets no new requests; one that refuses the
    connection is suspended. Never returns.
*/
auto watchLoads (RouterState& state, Worker& worker) -> Task<void>;

} // namespace snowrudder
