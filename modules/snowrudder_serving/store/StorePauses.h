#pragma once

#include "../node/ServingState.h"

#include <cstddef>

namespace snowrudder
{

/** Pause before a retry after a failure. It is short because the proof of freshness ages meanwhile. */
inline constexpr auto failurePause = 250ms;

/** Pause after repeated failures at a node that does not read the store for others; the readers retry more often. */
inline constexpr auto followerPause = Duration (1s);

/** Interval at which a node whose readers read the store for it checks whether it must read the store itself. */
inline constexpr auto recheckPause = 200ms;

/** @returns the pause after a failed call to the store.

    @param failures  number of consecutive failures, including this one; a single one may be due to a broken connection
                     only
*/
auto pauseAfterFailure (const ServingState& state, std::size_t failures) -> Duration;

/** Waits until this node knows the size of its failure domain, which decides whether it asks its readers or the store. */
auto awaitDomainMembers (const ServingState& state) -> Task<void>;

} // namespace snowrudder
