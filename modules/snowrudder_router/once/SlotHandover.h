#pragma once

#include "../state/RouterState.h"

#include <string>

namespace snowrudder
{

/** Hands all slots to their heirs and ends the lease: at a planned stop or a reclaim. */
auto handOverSlots (RouterState& state, Worker& worker) -> Task<void>;

/** Takes what a leaving router hands over.

    @returns false when the message makes no sense
*/
auto acceptHandedSlots (RouterState& state, const std::string& message) -> bool;

} // namespace snowrudder
