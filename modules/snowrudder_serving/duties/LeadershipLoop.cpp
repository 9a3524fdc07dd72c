#include "../store/StoreTransactions.h"
#include "DutyLoops.h"

namespace snowrudder
{

namespace
{

/** A watch for the holder's going is renewed this often. */
constexpr auto watchTime = Duration (8s);
constexpr auto failurePause = 300ms;

/** A node that does not read the store itself, or does not know yet, leaves the duties to those that do: the other nodes'
    work and usage come to readers. It looks this often whether it still does not.
*/
constexpr auto idlePause = 1s;

/** Renews the lease, and waits until it is to be renewed again. */
auto renewAndRest (ServingState& state, const StateStore& store) -> Task<void>
{
    const auto asked = SteadyClock::now();
    const auto outcome = co_await store.renewLease (state.leadership.lease);
    noteRenewal (state.leadership, outcome, state.leadershipTimes, asked);

    const auto now = SteadyClock::now();

    if (state.leadership.fence != 0 && now >= state.leadership.leaseEnd)
        noteLost (state.leadership, "lease_may_have_ended", now);

    co_await pauseFor (state.loop, state.leadershipTimes.renewal);
}

/** Tries to take the duties where nobody has them. */
auto compete (ServingState& state, const StateStore& store) -> Task<void>
{
    auto& own = state.leadership;
    const auto asked = SteadyClock::now();

    if (own.lease == 0 || asked >= own.leaseEnd)
    {
        const auto granted = co_await store.grantLease (state.leadershipTimes.lease);

        if (granted.outcome != StoreOutcome::done)
            co_return;

        own.lease = granted.lease;
        own.leaseEnd = asked + std::min (granted.length, state.leadershipTimes.lease);
    }

    auto take = makeCreateTransaction (std::string (leaderKey), own.token, own.lease);
    const auto taken = co_await store.commit (std::move (take));

    if (taken.outcome == StoreOutcome::done && SteadyClock::now() < own.leaseEnd)
        noteHeld (own, taken.revision);
}

/** Looks who has the duties; competes, or waits for a change. */
auto lookForVacancy (ServingState& state, const StateStore& store) -> Task<void>
{
    auto& own = state.leadership;
    const auto read = co_await store.read (std::string (leaderKey), ReadFreshness::newest);

    if (! isConclusive (read.outcome))
    {
        co_await pauseFor (state.loop, jittered (failurePause));
        co_return;
    }

    const auto* holder = existingItem (read.items);

    // A call of this node's own whose answer was lost took the duties.
    if (holder != nullptr && holder->value == own.token && holder->lease == own.lease && own.lease != 0 &&
        SteadyClock::now() < own.leaseEnd)
    {
        noteHeld (own, holder->revision);
        co_return;
    }

    if (holder != nullptr)
    {
        own.otherSeen = SteadyClock::now();
        const auto changed = co_await store.watch (std::string (leaderKey), read.revision, watchTime);

        if (changed.outcome != StoreOutcome::done)
            co_await pauseFor (state.loop, jittered (failurePause));

        co_return;
    }

    if (mayCompete (own, state.leadershipTimes, SteadyClock::now()) && ! state.leaving)
        co_await compete (state, store);
    else
        co_await pauseFor (state.loop, failurePause);
}

/** Gives the duties up while this node goes on. */
auto endLeadership (ServingState& state, const StateStore& store, std::string_view reason) -> Task<void>
{
    const auto lease = state.leadership.lease;
    const auto wasHeld = state.leadership.fence != 0;
    noteLost (state.leadership, reason, SteadyClock::now());

    if (! wasHeld)
        co_return;

    // A call of a duty that is on its way must arrive before a successor's first.
    co_await pauseFor (state.loop, state.leadershipTimes.call);
    co_await store.endLease (lease);
}

} // namespace

auto keepLeadership (ServingState& state, const StateStore& store) -> Task<void>
{
    while (! state.leaving)
    {
        const auto isReader = state.sharing.members && state.news.isReader;

        if (state.leadership.fence != 0 && isReader)
            co_await renewAndRest (state, store);
        else if (state.leadership.fence != 0)
            co_await endLeadership (state, store, "no_reader_any_more");
        else if (! isReader)
            co_await pauseFor (state.loop, idlePause);
        else
            co_await lookForVacancy (state, store);
    }
}

auto giveUpLeadership (ServingState& state, const StateStore& store) -> Task<void>
{
    return endLeadership (state, store, "stopping");
}

} // namespace snowrudder
