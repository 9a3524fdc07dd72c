#include "../store/ListPages.h"
#include "RolloutLoops.h"

namespace snowrudder
{

namespace
{

/** After a watch is cut off, updates that it misses arrive from other readers. */
constexpr auto watchTime = Duration (20s);
constexpr auto failurePause = 500ms;
constexpr auto nonReaderPause = 1s;

auto applyOrder (ServingState& state, const StoreFormats& formats, const StoredItem& item) -> void
{
    if (! item.key.starts_with (formats.rolloutPrefix))
        return;

    if (item.isRemoved)
    {
        if (state.rollouts.table.withdraw (item.key.substr (formats.rolloutPrefix.size()), item.revision))
            LogLine ("rollout_withdrawn").with ("key", item.key).info();

        return;
    }

    auto rollout = formats.readRollout (item);

    if (! rollout)
    {
        LogLine ("rollout_unreadable").with ("key", item.key).with ("revision", item.revision).error();
        return;
    }

    rollout->orderedAt = BootClock::now();

    // The status of an earlier order for the same version does not apply to this one.
    if (const auto status = state.rollouts.statuses.find (rollout->service);
        status != state.rollouts.statuses.end() && status->second.revision > rollout->number &&
        status->second.targetVersion == rollout->targetVersion)
        rollout->stage = status->second.stage;

    state.rollouts.merge (*rollout, "store");
}

auto readAll (ServingState& state, const StateStore& store, const StoreFormats& formats) -> Task<ReadItems>
{
    const auto statuses =
        co_await listItems (state.loop, store, formats.rolloutStatusPrefix, ReadFreshness::newest);

    if (statuses.outcome != StoreOutcome::done)
        co_return statuses;

    for (const auto& item : statuses.items)
        if (const auto status = formats.readRolloutStatus (item))
            state.rollouts.statuses[status->service] = *status;

    auto orders = co_await listItems (state.loop, store, formats.rolloutPrefix, ReadFreshness::newest);

    if (orders.outcome != StoreOutcome::done)
        co_return orders;

    for (const auto& item : orders.items)
        applyOrder (state, formats, item);

    if (! orders.hasMore)
        state.rollouts.table.isLoaded = true;

    co_return orders;
}

} // namespace

auto followRollouts (ServingState& state, const StateStore& store, const StoreFormats& formats) -> Task<void>
{
    for (;;)
    {
        if (! state.storeUpdates.isReader || ! state.sharing.members)
        {
            co_await pauseFor (state.loop, nonReaderPause);
            continue;
        }

        auto known = co_await readAll (state, store, formats);

        const auto isWhole = ! known.hasMore;

        while (known.outcome == StoreOutcome::done && state.storeUpdates.isReader)
        {
            known = co_await store.watch (formats.rolloutPrefix, known.revision, WatchTimes { watchTime });

            for (const auto& item : known.items)
                applyOrder (state, formats, item);

            if (! isWhole)
                break;
        }

        co_await pauseFor (state.loop, failurePause);
    }
}

} // namespace snowrudder
