#include "StoreFollowers.h"

#include "ReplicaListing.h"
#include "ReplicaWatchTimes.h"
#include "StorePauses.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace snowrudder
{

namespace
{

/** How long a node waits for the next part of all replicas from its readers before it lists them itself. The readers need
    about a second for their own lists.
*/
constexpr auto snapshotTimeout = Duration (3s);

/** In a large failure domain, the chance that a node whose readers have sent it nothing for `snapshotTimeout` lists the
    replicas itself, and by how much it grows each time: all of them would fill the store's link with lists.
*/
constexpr auto firstListChance = 1.0 / nodesPerReader;
constexpr auto listChanceGrowth = 4.0;
constexpr auto snapshotPollInterval = 20ms;

/** Pause of a node that relies on readers after a watch of its own failed. The readers watch without such pauses, and send
    it what they learn: a thousand nodes that watched the store as it returns from an outage would fill its link.
*/
constexpr auto readersHeadStart = Duration (2s);

/** Interval of lists, as watches may miss changes. */
constexpr auto relistInterval = Duration (20s);

/** The time until the next list after one that wasn't whole. It doubles up to `relistInterval`. */
constexpr auto partialRelistInterval = Duration (1s);
constexpr auto maxPartialDoublings = std::size_t { 5 };

/** @returns the time from the end of a list to the next one.

    @param partialLists  number of consecutive lists that weren't whole, including the last one
*/
auto pauseBeforeList (std::size_t partialLists) -> Duration
{
    if (partialLists == 0)
        return relistInterval;

    const auto doublings = std::min (partialLists - 1, maxPartialDoublings);
    return std::min (partialRelistInterval * (1U << doublings), relistInterval);
}

} // namespace

auto recordStoreOutcome (ServingState& state, StoreOutcome outcome, std::string_view purpose) -> void
{
    const auto hasResponse = isConclusive (outcome) || outcome == StoreOutcome::historyCompacted;

    if (hasResponse == state.isStoreReached)
        return;

    state.isStoreReached = hasResponse;

    // Entries may expire from the beginning of the outage on, and watches may return that before the store counts as
    // available again. If other nodes could reach the store meanwhile, there was no outage.
    const auto now = BootClock::now();
    const auto wasReachableForOthers = now - state.storeUpdates.provenAt <= storeUpdateAgeLimit;
    const auto keepTime = wasReachableForOthers ? Duration::zero() : lapseGracePeriod;
    state.directory.keepMissingUntil = hasResponse ? now + keepTime : TimePoint::max();

    LogLine (hasResponse ? "store_regained" : "store_lost")
        .with ("purpose", purpose)
        .with ("outcome", toString (outcome))
        .warning();
}

/** Makes one watch of the replicas and applies its changes.

    @returns the outcome of the call
*/
auto watchOnce (ServingState& state, const StateStore& store, const StoreFormats& formats, WatchTimes times)
    -> Task<StoreOutcome>
{
    const auto sentAt = BootClock::now();
    beginCall (state.storeCalls.replicas, "watch", sentAt);
    const auto changed = co_await store.watch (formats.replicaPrefix, state.directory.revision, times);
    const auto receivedAt = BootClock::now();
    endCall (state.storeCalls.replicas, changed.outcome, receivedAt);
    auto& provenAt = state.storeUpdates.ownDirectoryProvenAt;
    recordStoreOutcome (state, changed.outcome, "replicas");

    if (changed.outcome == StoreOutcome::historyCompacted)
        state.storeUpdates.mustListReplicas = true;

    if (changed.outcome != StoreOutcome::done)
    {
        state.metrics.counter ("snowrudder_replica_watches_failed_total").add();
        LogLine ("replica_watch_failed")
            .with ("outcome", toString (changed.outcome))
            .with ("revision", state.directory.revision)
            .with ("call_milliseconds", inMilliseconds (receivedAt - sentAt))
            .with ("proof_milliseconds", inMilliseconds (receivedAt - provenAt))
            .warning();
        co_return changed.outcome;
    }

    // An empty response does not advance the revision, as the watch may have missed changes without an error.
    const auto hasChanges = ! changed.items.empty() || changed.unreadable > 0;

    // What a list that wasn't whole has left out may have changed before the watches began.
    if (! state.directory.isPartial)
        provenAt = std::max (provenAt, provenByWatch (sentAt, receivedAt, times.wait, hasChanges));

    if (hasChanges)
    {
        applyEvents (state, formats, changed.items);
        state.directory.revision = std::max (state.directory.revision, changed.revision);
        state.publishDirectory (BootClock::now());
        co_await pauseFor (state.loop, batchingDelay);
    }

    co_return StoreOutcome::done;
}

/** Applies changes from watches until one may have missed changes, a check by a list is due, or other nodes read the
    store for this one.

    @param listedAt  when the list was sent that the watches continue
    @param interval  the time until the next list
    @returns         the reason of the next list
*/
auto watchReplicas (ServingState& state,
                    const StateStore& store,
                    const StoreFormats& formats,
                    TimePoint listedAt,
                    Duration interval = relistInterval) -> Task<ListReason>
{
    const auto listEnd = BootClock::now() + interval;

    const auto mustReceiveAll = [&state]
    { return state.storeUpdates.mustListReplicas && reliesOnReaders (state.storeUpdates); };

    while (mustQueryStore (state.storeUpdates, BootClock::now()) && ! mustReceiveAll())
    {
        const auto now = BootClock::now();

        // A node that has just started reads the store itself until it knows the other nodes. It can't serve requests
        // before it has a configuration, and needs no watch until then.
        const auto cannotServe = ! state.sharing.members || ! state.configuration.current;

        if ((cannotServe && isRecentlyStarted (state.sharing, now)) ||
            ! mustWatchReplicas (state.storeUpdates, listedAt, now))
        {
            co_await pauseFor (state.loop, recheckPause);
            continue;
        }

        const auto provenAt = state.directory.isPartial ? now : state.storeUpdates.ownDirectoryProvenAt;
        const auto times = nextWatchTimes (provenAt, now);
        auto outcome = co_await watchOnce (state, store, formats, times);

        const auto relies = reliesOnReaders (state.storeUpdates);

        if (outcome == StoreOutcome::unknown && ! relies)
            outcome = co_await watchOnce (state, store, formats, catchUpTimes);

        if (outcome != StoreOutcome::done)
        {
            // After a time-out the list is due at once; a store that refuses calls is not called without a pause.
            if (relies)
                co_await pauseFor (state.loop, jittered (readersHeadStart));
            else if (BootClock::now() - now < failurePause)
                co_await pauseFor (state.loop, failurePause);

            co_return ListReason::afterGap;
        }

        if (BootClock::now() >= listEnd)
            co_return ListReason::check;
    }

    co_return ListReason::afterGap;
}

/** Waits until the readers have sent all replicas to this node. If each of a thousand nodes that start together listed
    thousands of replicas, the store's link would be full for many seconds, and the calls that prove the configuration
    would time out.

    @returns whether it has all replicas; otherwise it has to list them
*/
auto receiveSnapshot (ServingState& state) -> Task<bool>
{
    auto& storeUpdates = state.storeUpdates;
    beginSnapshot (storeUpdates, state.directory);
    auto revision = state.directory.revision;
    const auto began = BootClock::now();
    auto progressedAt = began;
    auto usedAt = began;

    const auto isKnownReader = [&state] { return state.sharing.members && state.storeUpdates.isReader; };

    while (storeUpdates.awaitsSnapshot && ! isKnownReader() &&
           BootClock::now() - progressedAt < snapshotTimeout)
    {
        co_await pauseFor (state.loop, snapshotPollInterval);

        if (state.directory.revision != revision)
            progressedAt = BootClock::now();

        revision = state.directory.revision;

        if (const auto now = BootClock::now(); now - usedAt >= earlyUseInterval)
        {
            usedAt = now;
            state.publishDirectory (now);
        }
    }

    const auto isReceived = ! storeUpdates.awaitsSnapshot;

    if (isReceived)
        state.versions.recordGap (BootClock::now());
    else
        giveUpSnapshot (storeUpdates, state.directory);

    LogLine ("replicas_from_readers")
        .with ("complete", isReceived ? "yes" : "no")
        .with ("replicas", state.directory.entries.size())
        .with ("revision", state.directory.revision)
        .with ("milliseconds", inMilliseconds (BootClock::now() - began))
        .info();
    co_return isReceived;
}

/** Receives all replicas from the readers of a large failure domain, for as long as this node relies on them.

    @returns whether it has all replicas; otherwise it has to list them
*/
auto receiveFromReaders (ServingState& state) -> Task<bool>
{
    for (auto chance = firstListChance; reliesOnReaders (state.storeUpdates); chance *= listChanceGrowth)
    {
        const auto isReceived = co_await receiveSnapshot (state);

        if (isReceived)
            co_return true;

        if (randomFraction() < chance)
            co_return false;
    }

    co_return false;
}

auto followReplicas (ServingState& state, const StateStore& store, const StoreFormats& formats) -> Task<void>
{
    auto reason = ListReason::afterGap;
    auto failures = std::size_t { 0 };
    auto partialLists = std::size_t { 0 };
    auto nextListAt = longAgo;
    auto isFirst = true;
    co_await awaitDomainMembers (state);

    for (;;)
    {
        if (! state.storeUpdates.mustListReplicas && ! mustQueryStore (state.storeUpdates, BootClock::now()))
        {
            co_await pauseFor (state.loop, recheckPause);
            continue;
        }

        if (reliesOnReaders (state.storeUpdates))
        {
            isFirst = false;

            // The changes since the last store update are few, other than a list.
            if (! state.storeUpdates.mustListReplicas && state.directory.revision != 0)
            {
                reason = co_await watchReplicas (state, store, formats, longAgo);
                continue;
            }

            const auto isReceived = co_await receiveFromReaders (state);

            if (isReceived)
            {
                state.storeUpdates.mustListReplicas = false;
                continue;
            }
        }

        if (state.directory.isPartial && BootClock::now() < nextListAt)
        {
            co_await pauseFor (state.loop, recheckPause);
            continue;
        }

        if (state.directory.isPartial)
            reason = ListReason::afterGap;

        const auto sentAt = BootClock::now();
        const auto mostPages = isFirst ? 1 : std::numeric_limits<std::size_t>::max();
        const auto end = co_await listReplicas (state, store, formats, reason, mostPages);

        if (end.outcome != StoreOutcome::done && end.pages == 0)
        {
            co_await pauseFor (state.loop, pauseAfterFailure (state, ++failures));
            continue;
        }

        failures = 0;

        if (std::exchange (isFirst, false) && ! end.isWhole)
        {
            const auto isReceived = co_await receiveSnapshot (state);
            state.storeUpdates.mustListReplicas = ! isReceived;
            continue;
        }

        state.storeUpdates.mustListReplicas = false;
        partialLists = end.isWhole ? 0 : partialLists + 1;
        const auto pause = pauseBeforeList (partialLists);
        nextListAt = BootClock::now() + pause;
        reason = co_await watchReplicas (state, store, formats, sentAt, pause);
    }
}

} // namespace snowrudder
