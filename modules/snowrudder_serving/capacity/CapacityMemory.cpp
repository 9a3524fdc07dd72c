#include "CapacityMemory.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** Pause before reclaimable replicas are ordered again in a failure domain where they are unavailable. */
constexpr auto refusalPause = Duration (3s);

/** An order is repeated if the number of serving replicas still differs from it this long after the boot time. */
constexpr auto reorderPause = Duration (3s);

/** Longest time from a replica's start until its directory entry is seen. */
constexpr auto registrationTime = Duration (1500ms);

/** Time constant with which the need decays. A swing of the daily load takes 40 s, and a replica that was released
    takes some seconds to come back.
*/
constexpr auto needDecayTime = Duration (15s);

/** Orders are reduced by at least one in this many replicas. Each replica that goes takes its cache with it, and every
    reader of the store receives two updates.
*/
constexpr auto minReductionDivisor = 6U;

/** Reclaims come in waves: two to four failure domains lose their reclaimable replicas within 13 s, and no new ones are
    available for 12 to 15 s. More reclaims are expected for this long after the last sign of one.
*/
constexpr auto reclaimWaveTime = Duration (5s);

/** A failure domain that keeps at most one in this many of its reclaimable replicas was reclaimed. */
constexpr auto reclaimedDivisor = 4U;

} // namespace

auto updateNeeded (std::map<std::string, double>& needed,
                   const std::string& service,
                   double measured,
                   Duration passed) -> double
{
    auto& mean = needed.emplace (service, measured).first->second;
    const auto fall = std::chrono::duration<double> (passed) / std::chrono::duration<double> (needDecayTime);
    mean = std::max (measured, mean + (measured - mean) * std::min (1.0, fall));
    return mean;
}

auto recordServing (CapacityMemory& memory,
                    const std::string& service,
                    const std::string& domain,
                    std::uint32_t serving,
                    TimePoint now) -> bool
{
    auto& previous = memory.lastServing[{ service, domain }];
    const auto isOrdered = orderedReplicas (memory, service, domain, true) > serving;
    const auto isReclaimed = previous > 0 && serving * reclaimedDivisor <= previous && isOrdered;
    previous = serving;

    if (! isReclaimed)
        return false;

    // None are available there for a while, and a standing order would take the capacity that on-demand replicas need.
    memory.lastReclaims[service] = now;
    memory.unavailableUntil[{ service, domain }] = now + refusalPause;
    return true;
}

auto recordOrder (CapacityMemory& memory, const CapacityOrder& order, StoreOutcome outcome, TimePoint now)
    -> void
{
    if (outcome == StoreOutcome::done)
        memory.acceptedOrders[{ order.service, order.failureDomain, order.isReclaimable }] = { order.replicas,
                                                                                               now };

    if (outcome != StoreOutcome::refused || ! order.isReclaimable)
        return;

    memory.unavailableUntil[{ order.service, order.failureDomain }] = now + refusalPause;
    memory.lastReclaims[order.service] = now;
}

auto isReclaimWave (const CapacityMemory& memory, const std::string& service, TimePoint now) -> bool
{
    const auto seen = memory.lastReclaims.find (service);
    return seen != memory.lastReclaims.end() && now - seen->second < reclaimWaveTime;
}

auto unavailableDomains (const CapacityMemory& memory, const std::string& service, TimePoint now)
    -> std::set<std::string>
{
    std::set<std::string> domains;

    for (const auto& [serviceAndDomain, until] : memory.unavailableUntil)
        if (serviceAndDomain.first == service && now < until)
            domains.insert (serviceAndDomain.second);

    return domains;
}

auto orderedReplicas (const CapacityMemory& memory,
                      const std::string& service,
                      const std::string& domain,
                      bool isReclaimable) -> std::uint32_t
{
    const auto accepted = memory.acceptedOrders.find ({ service, domain, isReclaimable });
    return accepted == memory.acceptedOrders.end() ? 0 : accepted->second.replicas;
}

auto isOrderDue (const CapacityMemory& memory,
                 const CapacityOrder& order,
                 std::uint32_t serving,
                 Duration bootTime,
                 TimePoint now) -> bool
{
    const auto accepted =
        memory.acceptedOrders.find ({ order.service, order.failureDomain, order.isReclaimable });

    const auto mayStillBoot = memory.takenOverAt && now - *memory.takenOverAt < bootTime + registrationTime;

    if (accepted == memory.acceptedOrders.end() && mayStillBoot && order.replicas <= serving)
        return false;

    if (accepted == memory.acceptedOrders.end() || accepted->second.replicas < order.replicas)
        return true;

    if (accepted->second.replicas - order.replicas >=
        std::max (1U, accepted->second.replicas / minReductionDivisor))
        return true;

    return serving != accepted->second.replicas &&
           now - accepted->second.acceptedAt > bootTime + reorderPause;
}

} // namespace snowrudder
