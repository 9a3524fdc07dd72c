#pragma once

#include "../members/StoreUpdates.h"
#include "StateStore.h"

#include <algorithm>

namespace snowrudder
{

/** How often a reader proves that its directory of replicas is complete: a watch ends at the latest this long after the
    proof before.
*/
inline constexpr auto directoryProofInterval = Duration (900ms);

/** The shortest wait of a watch, so that a reader whose proof is older than the interval does not poll the store. */
inline constexpr auto minWatchWait = Duration (100ms);

/** How much longer than its wait a watch of the replicas may take. A degraded store responds within 240 ms. */
inline constexpr auto watchResponseTimeout = Duration (500ms);

/** The times of the call that follows a watch without a response. On a connection that works, it returns the changes that
    the watch hid at once, however many replicas there are.
*/
inline constexpr auto catchUpTimes = WatchTimes { 50ms, 300ms };

/** Delay after a change before the next watch, so that changes that come together, as when many replicas start or are
    reclaimed, are received in one batch.
*/
inline constexpr auto batchingDelay = Duration (400ms);

/** The time that the list may take which follows if the store answers no watch: six pages of 500 entries. */
inline constexpr auto replicaListTime = Duration (500ms);

/** The longest time from the store's acknowledgement that a replica is leaving until all nodes apply it, while watches get
    no response and other calls do. The batching delay is part of the proof interval.
*/
inline constexpr auto maxLeavingDelay = directoryProofInterval + watchResponseTimeout + catchUpTimes.wait +
                                        catchUpTimes.response + replicaListTime + storeUpdateInterval +
                                        storeUpdateTransitTime;

/** How long after the acknowledgement requests may reach a leaving replica on the platform, and within which a change must
    be found after a fault of the store or the network.
*/
inline constexpr auto leavingBound = Duration (3s);

static_assert (batchingDelay + minWatchWait <= directoryProofInterval);
static_assert (maxLeavingDelay < leavingBound);

/** @returns the times of the next watch of the replicas.

    @param provenAt  the time as of which the directory is known to be complete
*/
inline auto nextWatchTimes (TimePoint provenAt, TimePoint now) -> WatchTimes
{
    const auto left = provenAt + directoryProofInterval - now;
    return { std::clamp (left, minWatchWait, directoryProofInterval), watchResponseTimeout };
}

/** @returns the time as of which the directory is complete after the response to a watch.

    The store sends an empty response at the end of the wait. One with changes may have been sent at any time before, but
    one that is in transit for longer than `watchResponseTimeout` counts as lost.
*/
inline auto provenByWatch (TimePoint sentAt, TimePoint receivedAt, Duration wait, bool hasChanges)
    -> TimePoint
{
    if (! hasChanges && receivedAt - sentAt >= wait)
        return sentAt + wait;

    return std::max (sentAt, receivedAt - watchResponseTimeout);
}

} // namespace snowrudder
