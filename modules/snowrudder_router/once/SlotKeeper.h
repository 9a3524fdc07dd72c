#pragma once

#include "../state/RouterState.h"

#include "snowrudder_platform/snowrudder_platform.h"

namespace snowrudder
{

/** Renews this router's lease and claims the key slots that this router is to own. Runs on one worker; ends when the
    router leaves and hands its slots over.
*/
auto keepSlots (RouterState& state, Worker& worker) -> Task<void>;

} // namespace snowrudder
