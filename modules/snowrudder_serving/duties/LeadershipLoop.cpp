#include "../store/StoreTransactions.h"
#include "DutyLoops.h"

namespace snowrudder
{

namespace
{

/** Longest watch for the removal of the holder's item before it is renewed. */
constexpr auto watchTime = Duration (8s);
constexpr auto failurePause = 300ms;

/** A node that is not a reader, or does not know yet whether it is one, leaves the duties to readers, because the work
    and usage of the other nodes is reported to readers. This is how often it checks whether it has become one.
*/
constexpr auto nonReaderPause = 1s;

/** Renews the lease, and waits until the next renewal. */
auto renewAndWait (ServingState& state, const StateStore& store) -> Task<void>
{
    const auto sentAt = BootClock::now();
    const auto outcome = co_await store.renewLease (state.leadership.lease);
    recordRenewal (state.leadership, outcome, state.leadershipTimes, sentAt);

    const auto now = BootClock::now();

    if (state.leadership.fence != 0 && now >= state.leadership.leaseEnd)
        recordLoss (state.leadership, "lease_may_have_ended", now);

    co_await pauseFor (state.loop, state.leadershipTimes.renewal);
}

/** Tries to acquire the duties when no node holds them. */
auto tryToAcquire (ServingState& state, const StateStore& store) -> Task<void>
{
    auto& own = state.leadership;
    const auto sentAt = BootClock::now();

    if (own.lease == 0 || sentAt >= own.leaseEnd)
    {
        const auto granted = co_await store.grantLease (state.leadershipTimes.lease);

        if (granted.outcome != StoreOutcome::done)
            co_return;

        own.lease = granted.lease;
        own.leaseEnd = sentAt + std::min (granted.length, state.leadershipTimes.lease);
    }

    auto take = makeCreateTransaction (std::string (leaderKey), own.token, own.lease);
    const auto taken = co_await store.commit (std::move (take));

    if (taken.outcome == StoreOutcome::done && BootClock::now() < own.leaseEnd)
        recordAcquisition (own, taken.revision);
}

/** Reads who holds the duties, and competes for them or waits for a change. */
auto waitForVacancy (ServingState& state, const StateStore& store) -> Task<void>
{
    auto& own = state.leadership;
    const auto read = co_await store.read (std::string (leaderKey), ReadFreshness::newest);

    if (! isConclusive (read.outcome))
    {
        co_await pauseFor (state.loop, jittered (failurePause));
        co_return;
    }

    const auto* holder = existingItem (read.items);

    // An earlier call of this node acquired the duties, and its response was lost.
    if (holder != nullptr && holder->value == own.token && holder->lease == own.lease && own.lease != 0 &&
        BootClock::now() < own.leaseEnd)
    {
        recordAcquisition (own, holder->revision);
        co_return;
    }

    if (holder != nullptr)
    {
        own.otherHolderSeen = BootClock::now();
        const auto changed =
            co_await store.watch (std::string (leaderKey), read.revision, WatchTimes { watchTime });

        if (changed.outcome != StoreOutcome::done)
            co_await pauseFor (state.loop, jittered (failurePause));

        co_return;
    }

    if (mayCompete (own, state.leadershipTimes, BootClock::now()) && ! state.leaving)
        co_await tryToAcquire (state, store);
    else
        co_await pauseFor (state.loop, failurePause);
}

/** Releases the duties while this node keeps running. */
auto endLeadership (ServingState& state, const StateStore& store, std::string_view reason) -> Task<void>
{
    const auto lease = state.leadership.lease;
    const auto wasHeld = state.leadership.fence != 0;
    recordLoss (state.leadership, reason, BootClock::now());

    if (! wasHeld)
        co_return;

    // A duty call that is under way must arrive before the successor's first.
    co_await pauseFor (state.loop, state.leadershipTimes.call);
    co_await store.endLease (lease);
}

} // namespace

auto keepLeadership (ServingState& state, const StateStore& store) -> Task<void>
{
    while (! state.leaving)
    {
        const auto isCollector = state.sharing.members && state.isCollector;

        if (state.leadership.fence != 0 && isCollector)
            co_await renewAndWait (state, store);
        else if (state.leadership.fence != 0)
            co_await endLeadership (state, store, "no_reader_any_more");
        else if (! isCollector)
            co_await pauseFor (state.loop, nonReaderPause);
        else
            co_await waitForVacancy (state, store);
    }
}

auto releaseLeadership (ServingState& state, const StateStore& store) -> Task<void>
{
    return endLeadership (state, store, "stopping");
}

} // namespace snowrudder
