#pragma once

#include "../state/RouterState.h"

#include "snowrudder_platform/snowrudder_platform.h"

namespace snowrudder
{

/** Watches the settings tree in the platform's key-value service and puts each new revision in force. Never returns. */
auto followTree (RouterState& state, Worker& worker) -> Task<void>;

/** Polls the platform's VM list and updates the replicas, and the reclaim notice of this router's own VM. Never returns. */
auto followVmList (RouterState& state, Worker& worker) -> Task<void>;

/** Puts a settings tree in force if it is newer and valid. Errors in it are logged.

    @returns whether it was put in force
*/
auto adoptTree (RouterState& state, const std::string& text, std::uint64_t revision) -> bool;

} // namespace snowrudder
