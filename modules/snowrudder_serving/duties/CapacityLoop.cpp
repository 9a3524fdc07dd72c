#include "../capacity/CapacityMemory.h"
#include "../capacity/CapacityPlan.h"
#include "DutyLoops.h"

namespace snowrudder
{

namespace
{

/** A reclaimed replica leaves 2 s after its notice, and an on-demand one serves 4 s after its order. */
constexpr auto tick = 500ms;

/** The part of a replica's time that may go to prompts when first tokens are to come in time. Flat from 0.3 to 0.45 with targets
    of 250 to 500 ms (mean worth of six days, two seeds each: 0.527, 0.524; 0.517 at 0.55).
*/
constexpr auto busyShare = 0.3;

/** Of the replicas' slots, the part that may be taken on average: beyond it requests of a replica that many sessions share
    wait for a slot. Measured with 40 replicas of 16 slots, see docs/design/capacity.md.
*/
constexpr auto takenShare = 0.5;

/** Replicas on top, so that a small service's long prompts don't all meet its short ones. */
constexpr auto leastSpare = 1.0;

/** While reclaims go on, so many failure domains more may lose their reclaimable replicas before on-demand ones boot. */
constexpr auto domainsAtRisk = std::size_t { 2 };

/** On-demand replicas cost five to seven times as much as reclaimable ones, as seen so far, so that headroom is bought with the
    latter only: in a wave of reclaims, 13 of 19 that were needed with headroom served nobody late.
*/
constexpr auto onDemandShare = 0.45;

/** A holder that was seen within this was the one before: nodes that wait for the duties look at least every 8 s. */
constexpr auto predecessorTime = Duration (12s);

/** Replicas enter themselves in the store within their first two heartbeats (1.2 s each); what is found before
    is not all that there is.
*/
constexpr auto settleTime = Duration (2500ms);

auto servingOf (const ReplicaDirectory& directory, const std::string& service)
    -> std::map<std::string, DomainCapacity>
{
    std::map<std::string, DomainCapacity> serving;

    for (const auto& [key, entry] : directory.entries)
    {
        if (entry.info.service != service || entry.isLeaving)
            continue;

        auto& ofDomain = serving[entry.info.failureDomain];
        ++(entry.isReclaimable ? ofDomain.reclaimable : ofDomain.onDemand);
    }

    return serving;
}

/** What a service needs for the work of all nodes, in replicas. */
struct MeasuredNeed
{
    /** To read prompts in time and have a slot for each request, with some to spare. */
    double all = 0.0;
    /** To have a slot for each request. */
    double forSlots = 0.0;
};

/** @returns prompt tokens that a service's replicas read a millisecond, as this node and the others learnt it. */
auto learntSpeed (const ServingState& state, const std::string& service, TimePoint now)
    -> std::optional<double>
{
    const auto ofOthers = state.peers.work (service, now).promptSpeed;
    return ofOthers ? ofOthers : state.replicas.promptSpeed (service);
}

/** @returns nothing before the first traffic. */
auto measureNeeded (const ServingState& state, const std::string& service, TimePoint now)
    -> std::optional<MeasuredNeed>
{
    const auto replicas = state.replicas.totals (service);
    auto work = state.peers.work (service, now);
    work.tokensPerSecond += state.work.of (service, now);
    work.inFlight += replicas.inFlight;

    if (work.tokensPerSecond <= 0.0)
        return {};

    constexpr auto thousand = 1000.0;
    const auto speed = learntSpeed (state, service, now);
    auto forPrompts = work.tokensPerSecond / (speed.value_or (initialPromptSpeed) * thousand * busyShare);

    // Until the speed is known, what was found there is taken as set up for it.
    if (! speed)
        forPrompts = std::min (forPrompts, replicas.replicas);

    const auto slots = replicas.slots / std::max (1.0, replicas.replicas);
    const auto forSlots =
        replicas.replicas > 0.0 ? work.inFlight / (std::max (1.0, slots) * takenShare) : 0.0;
    return MeasuredNeed { std::max (forPrompts, forSlots) + leastSpare, forSlots };
}

auto give (ServingState& state, const DutyCalls& calls, CapacityMemory& memory, CapacityOrder order)
    -> Task<void>
{
    const auto now = SteadyClock::now();

    if (! mayAct (state.leadership, state.leadershipTimes, now))
        co_return;

    const DutyHolder holder { state.settings.node, state.leadership.fence };
    const auto outcome = co_await calls.orderCapacity (holder, order);
    LogLine ("capacity_ordered")
        .with ("service", order.service)
        .with ("failure_domain", order.failureDomain)
        .with ("reclaimable", order.isReclaimable ? "yes" : "no")
        .with ("replicas", order.replicas)
        .with ("needed", memory.needed[order.service])
        .with ("prompt_speed", learntSpeed (state, order.service, now).value_or (0.0))
        .with ("fence", holder.fence)
        .with ("outcome", toString (outcome))
        .info();

    noteOrder (memory, order, outcome, now);
}

/** Notes what serves in each failure domain, and whether reclaimable replicas were taken away. */
auto noteReclaims (CapacityMemory& memory, const std::string& service, CapacityInput& input, TimePoint now)
    -> void
{
    for (const auto& [domain, price] : input.bounds.domainPrices)
    {
        const auto serving = input.serving[domain].reclaimable;
        const auto before = memory.served[{ service, domain }];

        if (noteServing (memory, service, domain, serving, now))
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
    auto found = 0.0;

    for (const auto& [domain, capacity] : input.serving)
        found += capacity.onDemand + capacity.reclaimable;

    const auto measured = measureNeeded (state, service.name, now);

    // Whoever set up what is found knew the load; before the first traffic there is nothing else to go by.
    if (! memory.needed.contains (service.name))
        memory.needed[service.name] = found;

    if (measured)
    {
        noteNeeded (memory.needed, service.name, measured->all, tick);
        noteNeeded (memory.neededForSlots, service.name, measured->forSlots, tick);
    }

    input.needed = memory.needed[service.name];
    input.neededForSlots = memory.neededForSlots[service.name];

    for (const auto& [domain, price] : input.bounds.domainPrices)
        input.orderedOnDemand[domain] = orderedReplicas (memory, service.name, domain, false);

    noteReclaims (memory, service.name, input, now);
    input.dry = dryDomains (memory, service.name, now);
    return input;
}

auto planService (ServingState& state,
                  const DutyCalls& calls,
                  CapacityMemory& memory,
                  const UpstreamService& service) -> Task<void>
{
    const auto now = SteadyClock::now();
    auto input = inputFor (state, memory, service, now);
    const auto bootTime = input.bounds.bootTime;

    for (const auto& [domain, wanted] : planCapacity (input))
    {
        const auto serving = input.serving[domain];

        // Reclaimable replicas first: on-demand ones are given up only when enough of the others serve.
        CapacityOrder reclaimable { service.name, domain, true, wanted.reclaimable };
        CapacityOrder onDemand { service.name, domain, false, wanted.onDemand };

        // The replicas of a new version stand beside the old ones until one of them goes.
        const auto isFall = wanted.reclaimable < serving.reclaimable || wanted.onDemand < serving.onDemand;

        if (isFall && state.rollouts.table.isMoving (service.name))
            continue;

        if (isDue (memory, reclaimable, serving.reclaimable, bootTime, now))
            co_await give (state, calls, memory, std::move (reclaimable));

        if (isDue (memory, onDemand, serving.onDemand, bootTime, now))
            co_await give (state, calls, memory, std::move (onDemand));
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

        const auto now = SteadyClock::now();

        if (state.hasReplicas && firstSeen == TimePoint())
            firstSeen = now;

        if (! configuration || ! state.hasReplicas || now - firstSeen < settleTime)
            continue;

        if (! mayAct (state.leadership, state.leadershipTimes, now))
            continue;

        if (memory.fence != state.leadership.fence)
        {
            memory = CapacityMemory();
            memory.fence = state.leadership.fence;
            const auto& otherSeen = state.leadership.otherSeen;

            if (otherSeen && now - *otherSeen < predecessorTime)
                memory.takenOver = now;
        }

        for (const auto& [name, service] : configuration->services)
            if (service.scaling)
                co_await planService (state, calls, memory, service);
    }
}

} // namespace snowrudder
