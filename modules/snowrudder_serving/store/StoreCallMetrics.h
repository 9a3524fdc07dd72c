#pragma once

#include "StateStore.h"

namespace snowrudder
{

/** @returns a store that counts its calls by kind, those without an answer that helps, and the time of all but watches.

    @param metrics  outlives the store
*/
auto withCallMetrics (StateStore store, Metrics& metrics) -> StateStore;

} // namespace snowrudder
