#include "../capacity/CapacityMemory.h"
#include "../capacity/CapacityPlan.h"
#include "DutyLoops.h"

namespace snowrudder
{

namespace
{

/** Planning interval. A reclaimed replica leaves 2 s after its notice, and an on-demand one serves 4 s after its order.
*/
constexpr auto tick = 500ms;

/** Fraction of a replica's time that prompts may take if first tokens are to meet their latency target. With targets of
    250 to 500 ms the mean score is nearly the same from 0.3 to 0.45 (0.527 and 0.524), and lower at 0.55 (0.517).
*/
constexpr auto targetUtilization = 0.3;

/** Fraction of the replicas' slots that may be occupied on average. Above it, requests to a replica that many sessions
    share wait for a slot. Measured with 40 replicas of 16 slots, see docs/design/capacity.md.
*/
constexpr auto targetSlotOccupancy = 0.5;

/** Additional replicas, so that the long prompts of a small service don't delay all of its short ones. */
constexpr auto spareReplicas = 1.0;

/** Number of further failure domains that may lose their reclaimable replicas in a wave before on-demand ones boot. */
constexpr auto domainsAtRisk = std::size_t { 2 };

/** Fraction of the need for which on-demand replicas are ordered. They cost five to seven times as much as reclaimable
    ones, so headroom consists of the latter only: in a wave of reclaims, 13 of the 19 replicas needed with headroom
    served no request late.
*/
constexpr auto onDemandShare = 0.45;

/** Another holder seen within this time was the predecessor: nodes that wait for the duties check at least every 8 s. */
constexpr auto recentHolderTime = Duration (12s);

auto servingOf (const ReplicaDirectory& directory, const std::string& service)
    -> std::map<std::string, DomainCapacity>
{
    std::map<std::string, DomainCapacity> serving;

    for (const auto& [key, entry] : directory.entries)
    {
        if (entry.info.service != service || leaves (entry))
            continue;

        auto& ofDomain = serving[entry.info.failureDomain];
        ++(entry.isReclaimable ? ofDomain.reclaimable : ofDomain.onDemand);
    }

    return serving;
}

/** Replicas that a service needs for the work of all nodes. */
struct MeasuredNeed
{
    /** To process prompts in time and have a slot for each request, with some to spare. */
    double all = 0.0;
    /** To have a slot for each request. */
    double forSlots = 0.0;
};

/** @returns the prompt tokens that a service's replicas process per millisecond, as measured by the other nodes or this
    one.
*/
auto learnedPromptSpeed (const ServingState& state, const std::string& service, TimePoint now)
    -> std::optional<double>
{
    const auto fromOthers = state.peers.work (service, now).promptSpeed;
    return fromOthers ? fromOthers : state.replicas.promptSpeed (service);
}

/** @returns nothing before the first traffic. */
auto measureNeed (const ServingState& state, const std::string& service, TimePoint now)
    -> std::optional<MeasuredNeed>
{
    const auto replicas = state.replicas.totals (service);
    auto work = state.peers.work (service, now);
    work.tokensPerSecond += state.work.perSecond (service, now);
    work.inFlight += replicas.inFlight;

    if (work.tokensPerSecond <= 0.0)
        return {};

    constexpr auto thousand = 1000.0;
    const auto speed = learnedPromptSpeed (state, service, now);
    auto forPrompts =
        work.tokensPerSecond / (speed.value_or (initialPromptSpeed) * thousand * targetUtilization);

    // Until the speed is known, the existing replicas are assumed to be sized for the load.
    if (! speed)
        forPrompts = std::min (forPrompts, replicas.replicas);

    const auto slots = replicas.slots / std::max (1.0, replicas.replicas);
    const auto forSlots =
        replicas.replicas > 0.0 ? work.inFlight / (std::max (1.0, slots) * targetSlotOccupancy) : 0.0;
    return MeasuredNeed { std::max (forPrompts, forSlots) + spareReplicas, forSlots };
}

auto placeOrder (ServingState& state, const DutyCalls& calls, CapacityMemory& memory, CapacityOrder order)
    -> Task<void>
{
    const auto now = BootClock::now();

    if (! mayCallDuty (state.leadership, state.leadershipTimes, now))
        co_return;

    const DutyHolder holder { state.settings.node, state.leadership.fence };
    const auto outcome = co_await calls.orderCapacity (holder, order);
    LogLine ("capacity_ordered")
        .with ("service", order.service)
        .with ("failure_domain", order.failureDomain)
        .with ("reclaimable", order.isReclaimable ? "yes" : "no")
        .with ("replicas", order.replicas)
        .with ("needed", memory.needed[order.service])
        .with ("prompt_speed", learnedPromptSpeed (state, order.service, now).value_or (0.0))
        .with ("fence", holder.fence)
        .with ("outcome", toString (outcome))
        .info();

    recordOrder (memory, order, outcome, now);
}

/** Records the serving replicas of each failure domain and detects reclaims. */
auto detectReclaims (CapacityMemory& memory, const std::string& service, CapacityInput& input, TimePoint now)
    -> void
{
    for (const auto& [domain, price] : input.bounds.domainPrices)
    {
        const auto serving = input.serving[domain].reclaimable;
        const auto before = memory.lastServing[{ service, domain }];

        if (recordServing (memory, service, domain, serving, now))
            LogLine ("reclaim_seen")
                .with ("service", service)
                .with ("failure_domain", domain)
                .with ("before", before)
                .with ("serving", serving)
                .with ("ordered", orderedReplicas (memory, service, domain, true))
                .info();
    }

    if (isReclaimWave (memory, service, now))
        input.domainsAtRisk = domainsAtRisk;
}

auto inputFor (const ServingState& state,
               CapacityMemory& memory,
               const UpstreamService& service,
               TimePoint now) -> CapacityInput
{
    CapacityInput input;
    input.bounds = *service.scaling;
    input.serving = servingOf (state.directory, service.name);
    input.onDemandShare = onDemandShare;
    auto existing = 0.0;

    for (const auto& [domain, capacity] : input.serving)
        existing += capacity.onDemand + capacity.reclaimable;

    const auto measured = measureNeed (state, service.name, now);

    // Whoever set up the existing replicas knew the load; before the first traffic there is no other measure.
    if (! memory.needed.contains (service.name))
        memory.needed[service.name] = existing;

    if (measured)
    {
        updateNeeded (memory.needed, service.name, measured->all, tick);
        updateNeeded (memory.neededForSlots, service.name, measured->forSlots, tick);
    }

    input.needed = memory.needed[service.name];
    input.neededForSlots = memory.neededForSlots[service.name];

    for (const auto& [domain, price] : input.bounds.domainPrices)
        input.orderedOnDemand[domain] = orderedReplicas (memory, service.name, domain, false);

    detectReclaims (memory, service.name, input, now);
    input.withoutReclaimable = unavailableDomains (memory, service.name, now);
    return input;
}

auto planService (ServingState& state,
                  const DutyCalls& calls,
                  CapacityMemory& memory,
                  const UpstreamService& service) -> Task<void>
{
    const auto now = BootClock::now();
    auto input = inputFor (state, memory, service, now);
    const auto bootTime = input.bounds.bootTime;

    for (const auto& [domain, wanted] : planCapacity (input))
    {
        const auto serving = input.serving[domain];

        // Reclaimable replicas first: on-demand ones are released only when enough of the others serve.
        CapacityOrder reclaimable { service.name, domain, true, wanted.reclaimable };
        CapacityOrder onDemand { service.name, domain, false, wanted.onDemand };

        // Replicas of a new version run beside the old ones until the roll-out ends.
        const auto isFall = wanted.reclaimable < serving.reclaimable || wanted.onDemand < serving.onDemand;

        if (isFall && state.rollouts.table.hasOpenRollout (service.name))
            continue;

        if (isOrderDue (memory, reclaimable, serving.reclaimable, bootTime, now))
            co_await placeOrder (state, calls, memory, std::move (reclaimable));

        if (isOrderDue (memory, onDemand, serving.onDemand, bootTime, now))
            co_await placeOrder (state, calls, memory, std::move (onDemand));
    }
}

} // namespace

auto orderReplicas (ServingState& state, const DutyCalls& calls) -> Task<void>
{
    CapacityMemory memory;
    TimePoint firstSeen {};

    for (;;)
    {
        co_await pauseFor (state.loop, tick);

        const auto configuration = state.configuration.current;

        const auto now = BootClock::now();

        if (state.hasReplicas && firstSeen == TimePoint())
            firstSeen = now;

        if (! configuration || ! state.hasReplicas || now - firstSeen < maxRegistrationTime)
            continue;

        if (! mayCallDuty (state.leadership, state.leadershipTimes, now))
            continue;

        if (memory.fence != state.leadership.fence)
        {
            memory = CapacityMemory();
            memory.fence = state.leadership.fence;
            const auto& otherHolderSeen = state.leadership.otherHolderSeen;

            if (otherHolderSeen && now - *otherHolderSeen < recentHolderTime)
                memory.takenOverAt = now;
        }

        for (const auto& [name, service] : configuration->services)
            if (service.scaling)
                co_await planService (state, calls, memory, service);
    }
}

} // namespace snowrudder
