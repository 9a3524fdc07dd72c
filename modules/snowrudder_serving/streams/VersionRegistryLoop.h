#pragma once

#include "../node/ServingState.h"
#include "../store/StateStore.h"

namespace snowrudder
{

/** Keeps the registry of software versions, in an endless loop: each node reads it when it does not know the versions that
    served before, and the nodes that read the store for others write it when versions come or go.
*/
auto keepVersionRegistry (ServingState& state, const StateStore& store) -> Task<void>;

} // namespace snowrudder
