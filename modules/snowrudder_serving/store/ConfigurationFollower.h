#pragma once

#include "StoreFollowers.h"

#include <functional>

namespace snowrudder
{

/** Keeps the configuration and its proof of freshness up to date. Never ends.

    Once every `checkInterval` it queries the store whether the configuration is still at the revision held, by a
    transaction with this single condition and no changes. The response is linearizable and small, and includes the
    newer item if there is one. A watch could not replace it: it proves nothing while it waits, and may miss changes
    without an error.

    @param onAdopted  called after a newer configuration was put in force
*/
auto followConfiguration (ServingState& state,
                          const StateStore& store,
                          const StoreFormats& formats,
                          std::function<void()> onAdopted) -> Task<void>;

} // namespace snowrudder
