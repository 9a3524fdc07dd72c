#include "Sweep.h"

#include <set>

namespace snowrudder
{

namespace
{

constexpr auto sweepInterval = 100ms;

/** @returns the replicas that are listed and not leaving, collected once per sweep for all open requests. The list is
    updated on the same event loop, so that no replica can be added while a sweep uses the result.
*/
auto remainingReplicas (RouterState& state) -> std::set<ReplicaNumber>
{
    std::set<ReplicaNumber> remaining;

    state.replicas.forEach (
        [&] (const ReplicaState& replica)
        {
            if (! replica.leavingSince)
                remaining.insert (replica.number);
        });

    return remaining;
}

auto sweepRecord (RouterState& state,
                  RequestRecord& record,
                  const std::set<ReplicaNumber>& remaining,
                  TimePoint now) -> void
{
    const auto& identity = record.identity();
    const auto abandoned = record.abandonedSince();
    const auto isModelCall = ! identity.model.empty();

    if (now >= identity.deadline)
        record.interrupt (FailureCause::deadline);
    else if (isModelCall && abandoned && now - *abandoned >= state.timeouts.resume)
        record.interrupt (FailureCause::abandoned);
    else if (const auto replica = record.currentReplica.load();
             replica != 0 && ! remaining.contains (replica))
        record.interrupt (FailureCause::moved);
}

auto setQueueCapacities (RouterState& state, TimePoint now) -> void
{
    for (const auto& [name, service] : state.fleet()->services())
    {
        const auto capacity = state.replicas.capacity (name, now);
        const auto keptShare = service->settings.has_kept_share() ? service->settings.kept_share()
                                                                  : ServiceCapacity::usualKeptShare;
        state.queues.setCapacity (name, { capacity.slots, capacity.busy, state.routerCount(), keptShare },
                                  now);
    }
}

auto countReplicas (RouterState& state, TimePoint now) -> void
{
    auto usable = 0;
    auto leaving = 0;
    auto suspended = 0;

    state.replicas.forEach (
        [&] (const ReplicaState& replica)
        {
            const auto use = availabilityOf (replica, now);
            usable += use == ReplicaAvailability::usable ? 1 : 0;
            leaving += use == ReplicaAvailability::leaving ? 1 : 0;
            suspended += use == ReplicaAvailability::suspended || use == ReplicaAvailability::ended ? 1 : 0;
        });

    state.metrics.gauge ("snowrudder_replicas", "use=\"usable\"").set (usable);
    state.metrics.gauge ("snowrudder_replicas", "use=\"leaving\"").set (leaving);
    state.metrics.gauge ("snowrudder_replicas", "use=\"suspended\"").set (suspended);
}

} // namespace

auto sweepRequests (RouterState& state, Worker& worker) -> Task<void>
{
    BootTimer timer (worker.loop);
    SuspensionWatch suspensions;

    for (;;)
    {
        recordSuspension (suspensions, state.metrics);
        const auto now = BootClock::now();

        const auto open = state.requests.open();
        const auto remaining = remainingReplicas (state);

        for (const auto& record : open)
            sweepRecord (state, *record, remaining, now);

        setQueueCapacities (state, now);
        countReplicas (state, now);
        state.requests.dropOld (now);
        state.crashes.recheckUnconfirmed (worker.probes, now);
        state.crashes.evidence().removeExpired (now);
        state.crashes.publishSizes (now);
        state.counts.openRequests.set (static_cast<std::int64_t> (state.requests.openCount()));
        state.counts.keptBytes.set (static_cast<std::int64_t> (state.requests.keptBytes()));

        timer.expires_after (sweepInterval);
        co_await timer.async_wait (asTuple);
    }
}

} // namespace snowrudder
