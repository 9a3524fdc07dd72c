#pragma once

#include "../node/ServingState.h"
#include "../store/StateStore.h"
#include "DutyCalls.h"
#include "Leadership.h"

namespace snowrudder
{

/** Keys of the product's own in the state store. */
inline constexpr auto leaderKey = std::string_view ("snowrudder/leader");
inline constexpr auto usagePrefix = std::string_view ("snowrudder/usage/");

/** Competes for the duties and keeps them while this node lives and reaches the store, for ever.

    One lease and one item for all duties: the item goes with the lease, and its revision is the fence.
*/
auto keepLeadership (ServingState& state, const StateStore& store) -> Task<void>;

/** Gives the duties up at a planned stop, so that a successor need not wait for the lease to run out. */
auto releaseLeadership (ServingState& state, const StateStore& store) -> Task<void>;

/** Reports each window's usage while this node has the duties, for ever. A window's counts are written to the store before
    they are reported: a successor that finds them repeats them exactly.
*/
auto reportUsage (ServingState& state, const StateStore& store, const DutyCalls& calls) -> Task<void>;

/** Orders replicas while this node has the duties, for ever; see planCapacity(). */
auto orderReplicas (ServingState& state, const DutyCalls& calls) -> Task<void>;

} // namespace snowrudder
