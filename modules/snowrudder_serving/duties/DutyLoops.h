#pragma once

#include "../node/ServingState.h"
#include "../store/StateStore.h"
#include "DutyCalls.h"
#include "Leadership.h"

namespace snowrudder
{

/** Keys in the state store that belong to this product. */
inline constexpr auto leaderKey = std::string_view ("snowrudder/leader");
inline constexpr auto usagePrefix = std::string_view ("snowrudder/usage/");

/** Competes for the duties and holds them while this node runs and reaches the store. Runs until the node leaves.

    All duties share one lease and one item. The item is removed with the lease, and its revision is the fencing token.
*/
auto keepLeadership (ServingState& state, const StateStore& store) -> Task<void>;

/** Releases the duties at a planned stop, so that a successor need not wait for the lease to expire. */
auto releaseLeadership (ServingState& state, const StateStore& store) -> Task<void>;

/** Reports the usage of each window while this node holds the duties; never returns. The counts of a window are written
    to the store before they are reported, so that a successor repeats the report exactly.
*/
auto reportUsage (ServingState& state, const StateStore& store, const DutyCalls& calls) -> Task<void>;

/** Orders replicas while this node holds the duties; never returns. See planCapacity(). */
auto orderReplicas (ServingState& state, const DutyCalls& calls) -> Task<void>;

} // namespace snowrudder
