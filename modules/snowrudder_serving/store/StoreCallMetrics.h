#pragma once

#include "StateStore.h"

namespace snowrudder
{

/** @returns a store that counts its calls by kind and its failed calls, and measures the duration of all calls but
    watches.

    @param metrics  must outlive the store
*/
auto withCallMetrics (StateStore store, Metrics& metrics) -> StateStore;

} // namespace snowrudder
