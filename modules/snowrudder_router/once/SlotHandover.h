#pragma once

#include "../state/RouterState.h"

#include <string>

namespace snowrudder
{

/** Hands all key slots over to their successors and ends the lease. Called at a planned stop or a reclaim. */
auto handOverSlots (RouterState& state, Worker& worker) -> Task<void>;

/** Accepts the slots that a leaving router hands over. They take effect once the platform's record names this router as
    their owner.

    @returns false if the message is malformed
*/
auto acceptHandedSlots (RouterState& state, const std::string& message) -> bool;

} // namespace snowrudder
