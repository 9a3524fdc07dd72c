#include "../capacity/CapacityPlan.h"
#include "DutyLoops.h"

#include <map>
#include <tuple>

namespace snowrudder
{

namespace
{

/** A reclaimed replica leaves 2 s after its notice, and an on-demand one serves 4 s after its order. */
constexpr auto tick = 500ms;

/** After a refusal for want of reclaimable replicas, until the next try. */
constexpr auto dryPause = Duration (3s);

/** An order is given again when what serves still differs from it after the boot time and this. */
constexpr auto repeatPause = Duration (3s);

/** The part of a replica's time that may go to prompts when first tokens are to come in time. */
constexpr auto busyShare = 0.15;

/** Of the replicas' slots, the part that may be taken on average: beyond it requests of a replica that many sessions share
    wait for a slot. Measured on the grown sites, see docs/design/capacity.md.
*/
constexpr auto takenShare = 0.5;

/** Replicas on top, so that a small service's long prompts don't all meet its short ones. */
constexpr auto leastSpare = 2.0;

/** What is needed falls over this time: a swing of the day takes 40 s, and a replica that is given up takes some seconds to
    come back.
*/
constexpr auto fallTime = Duration (15s);

/** Orders fall by this part at least: with each replica that goes, what it had cached is lost, and all readers of the store
    are told twice.
*/
constexpr auto leastFall = 6U;

/** On-demand replicas cost five to seven times as much as reclaimable ones on the sites known, so that headroom is bought
    with the latter only; measured at 1.0 on quiet-1, see docs/design/capacity.md.
*/
constexpr auto onDemandShare = 0.6;

/** Replicas enter themselves in the store within their first two heartbeats (1.2 s on the sites known); what is found before
    is not all that there is.
*/
constexpr auto settleTime = Duration (2500ms);

/** Before work is measured, this part of what was found is taken as needed: whoever set it up knew the load. */
constexpr auto startShare = 1.0;

/** Reclaims come in waves: on the sites known two to four failure domains lose theirs within 13 s, and no new ones are to be
    had for 12 to 15 s. For so long after the last sign of one, so many more domains are taken to be at risk.
*/
constexpr auto waveTime = Duration (8s);
constexpr auto domainsAtRisk = std::size_t { 2 };

using OrderKey = std::tuple<std::string, std::string, bool>;

struct GivenOrder
{
    std::uint32_t replicas = 0;
    TimePoint given {};
};

/** What the holder remembers between rounds. */
struct CapacityMemory
{
    std::map<OrderKey, GivenOrder> given;
    std::map<std::pair<std::string, std::string>, TimePoint> dryUntil;
    /** Reclaimable replicas that served at the last look, by service and failure domain. */
    std::map<std::pair<std::string, std::string>, std::uint32_t> served;
    /** By service: when reclaims were last seen, or were the reason why an order was refused. */
    std::map<std::string, TimePoint> reclaimSeen;
    std::map<std::string, double> needed;
    std::uint64_t fence = 0;
};

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

/** @returns replicas that read the prompts in time and have a slot for each request. */
auto measureNeeded (const ReplicaTable::Totals& replicas, const ServiceWork& work) -> double
{
    constexpr auto thousand = 1000.0;
    const auto forPrompts = work.tokensPerSecond / (usualPromptSpeed * thousand * busyShare);
    const auto slots = replicas.slots / std::max (1.0, replicas.replicas);
    const auto forSlots =
        replicas.replicas > 0.0 ? work.inFlight / (std::max (1.0, slots) * takenShare) : 0.0;
    return std::max (forPrompts, forSlots) + leastSpare;
}

/** @returns how many replicas the service needs, averaged; rises at once and falls slowly. */
auto noteNeeded (const ServingState& state,
                 CapacityMemory& memory,
                 const std::string& service,
                 double found,
                 TimePoint now) -> double
{
    const auto replicas = state.replicas.totals (service);
    auto work = state.peers.work (service, now);
    work.tokensPerSecond += state.work.of (service, now);
    work.inFlight += replicas.inFlight;
    const auto measured = measureNeeded (replicas, work);
    const auto known = memory.needed.find (service);

    if (known == memory.needed.end())
        return memory.needed[service] = std::max (measured, found * startShare);

    // Before the first traffic there is nothing to measure.
    if (work.tokensPerSecond <= 0.0)
        return known->second;

    const auto fall = std::chrono::duration<double> (tick) / std::chrono::duration<double> (fallTime);
    known->second = std::max (measured, known->second + (measured - known->second) * fall);
    return known->second;
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
        .with ("fence", holder.fence)
        .with ("outcome", toString (outcome))
        .info();

    if (outcome == StoreOutcome::done)
        memory.given[{ order.service, order.failureDomain, order.isReclaimable }] = { order.replicas, now };
    else if (outcome == StoreOutcome::refused && order.isReclaimable)
    {
        memory.dryUntil[{ order.service, order.failureDomain }] = now + dryPause;
        memory.reclaimSeen[order.service] = now;
    }
}

auto isDue (const CapacityMemory& memory,
            const CapacityOrder& order,
            std::uint32_t serving,
            Duration bootTime,
            TimePoint now) -> bool
{
    const auto given = memory.given.find ({ order.service, order.failureDomain, order.isReclaimable });

    if (given == memory.given.end() || given->second.replicas < order.replicas)
        return true;

    if (given->second.replicas - order.replicas >= std::max (1U, given->second.replicas / leastFall))
        return true;

    return serving != given->second.replicas && now - given->second.given > bootTime + repeatPause;
}

/** Notes a failure domain that has lost most of its reclaimable replicas although they were ordered. */
auto noteReclaim (CapacityMemory& memory,
                  const std::string& service,
                  const std::string& domain,
                  std::uint32_t serving,
                  TimePoint now) -> void
{
    constexpr auto mostLost = 4U;
    auto& before = memory.served[{ service, domain }];
    const auto given = memory.given.find ({ service, domain, true });
    const auto isOrdered = given != memory.given.end() && given->second.replicas > serving;

    if (before > 0 && serving * mostLost <= before && isOrdered)
    {
        memory.reclaimSeen[service] = now;
        LogLine ("reclaim_seen")
            .with ("service", service)
            .with ("failure_domain", domain)
            .with ("before", before)
            .with ("serving", serving)
            .with ("ordered", given->second.replicas)
            .info();
    }

    before = serving;
}

auto planService (ServingState& state,
                  const DutyCalls& calls,
                  CapacityMemory& memory,
                  const UpstreamService& service) -> Task<void>
{
    const auto now = SteadyClock::now();
    CapacityInput input;
    input.bounds = *service.scaling;
    input.serving = servingOf (state.directory, service.name);
    auto found = 0.0;

    for (const auto& [domain, capacity] : input.serving)
        found += capacity.onDemand + capacity.reclaimable;

    input.onDemandShare = onDemandShare;
    input.needed = noteNeeded (state, memory, service.name, found, now);

    for (const auto& [place, until] : memory.dryUntil)
        if (place.first == service.name && now < until)
            input.dry.insert (place.second);

    // Also where reclaimable replicas are asked for again: on-demand ones that boot must not be moved meanwhile.
    for (const auto& [domain, price] : input.bounds.domainPrices)
        if (const auto given = memory.given.find ({ service.name, domain, true });
            given != memory.given.end())
            input.standing[domain] = given->second.replicas;

    for (const auto& [domain, price] : input.bounds.domainPrices)
        noteReclaim (memory, service.name, domain, input.serving[domain].reclaimable, now);

    if (const auto seen = memory.reclaimSeen.find (service.name);
        seen != memory.reclaimSeen.end() && now - seen->second < waveTime)
        input.domainsAtRisk = domainsAtRisk;

    for (const auto& [domain, wanted] : planCapacity (input))
    {
        const auto serving = input.serving[domain];

        // Reclaimable replicas first: on-demand ones are given up only when enough of the others serve.
        CapacityOrder reclaimable { service.name, domain, true, wanted.reclaimable };
        CapacityOrder onDemand { service.name, domain, false, wanted.onDemand };

        // An order that was refused stands: a smaller one would give up what may come back.
        if (! input.dry.contains (domain) &&
            isDue (memory, reclaimable, serving.reclaimable, input.bounds.bootTime, now))
            co_await give (state, calls, memory, std::move (reclaimable));

        if (isDue (memory, onDemand, serving.onDemand, input.bounds.bootTime, now))
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
        }

        for (const auto& [name, service] : configuration->services)
            if (service.scaling)
                co_await planService (state, calls, memory, service);
    }
}

} // namespace snowrudder
