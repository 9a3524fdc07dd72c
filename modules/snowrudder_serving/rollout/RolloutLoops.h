#pragma once

#include "../node/ServingState.h"
#include "../store/StoreFollowers.h"

namespace snowrudder
{

/** Follows the operators' orders to move services to other versions while this node is a reader; never returns. The
    other nodes receive the orders with the reader's store updates.
*/
auto followRollouts (ServingState& state, const StateStore& store, const StoreFormats& formats) -> Task<void>;

/** Advances roll-outs while this node holds the duties and writes their status for the operators; never returns. A
    version that is rolled back gets no more requests at once, also while the store is unavailable; a version is in
    service only once the store has the status.
*/
auto decideRollouts (ServingState& state, const StateStore& store, const StoreFormats& formats) -> Task<void>;

} // namespace snowrudder
