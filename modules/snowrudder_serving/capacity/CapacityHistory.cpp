#include "CapacityHistory.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** After a refusal for want of reclaimable replicas, until the next try. */
constexpr auto refusalPause = Duration (3s);

/** An order is given again when what serves still differs from it after the boot time and this. */
constexpr auto reorderPause = Duration (3s);

/** From a replica's start until its entry is seen. */
constexpr auto registrationTime = Duration (1500ms);

/** What is needed falls over this time: a swing of the day takes 40 s, and a replica that is given up takes some seconds to
    come back.
*/
constexpr auto needDecayTime = Duration (15s);

/** Orders fall by this part at least: with each replica that goes, what it had cached is lost, and all readers of the store
    are told twice.
*/
constexpr auto minReductionDivisor = 6U;

/** Reclaims come in waves: as seen so far two to four failure domains lose theirs within 13 s, and no new ones are to be
    had for 12 to 15 s. For so long after the last sign of one, others are expected.
*/
constexpr auto reclaimWaveTime = Duration (5s);

/** A failure domain that keeps no more than one in so many of its reclaimable replicas was reclaimed. */
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

auto recordServing (CapacityHistory& history,
                  const std::string& service,
                  const std::string& domain,
                  std::uint32_t serving,
                  TimePoint now) -> bool
{
    auto& before = history.lastServing[{ service, domain }];
    const auto isOrdered = orderedReplicas (history, service, domain, true) > serving;
    const auto isReclaimed = before > 0 && serving * reclaimedDivisor <= before && isOrdered;
    before = serving;

    if (! isReclaimed)
        return false;

    // No more are to be had there for a while, and an order that stands would take the room of on-demand ones.
    history.lastReclaims[service] = now;
    history.unavailableUntil[{ service, domain }] = now + refusalPause;
    return true;
}

auto recordOrder (CapacityHistory& history, const CapacityOrder& order, StoreOutcome outcome, TimePoint now)
    -> void
{
    if (outcome == StoreOutcome::done)
        history.acceptedOrders[{ order.service, order.failureDomain, order.isReclaimable }] = { order.replicas, now };

    if (outcome != StoreOutcome::refused || ! order.isReclaimable)
        return;

    history.unavailableUntil[{ order.service, order.failureDomain }] = now + refusalPause;
    history.lastReclaims[order.service] = now;
}

auto isReclaimWave (const CapacityHistory& history, const std::string& service, TimePoint now) -> bool
{
    const auto seen = history.lastReclaims.find (service);
    return seen != history.lastReclaims.end() && now - seen->second < reclaimWaveTime;
}

auto unavailableDomains (const CapacityHistory& history, const std::string& service, TimePoint now)
    -> std::set<std::string>
{
    std::set<std::string> withoutReclaimable;

    for (const auto& [place, until] : history.unavailableUntil)
        if (place.first == service && now < until)
            withoutReclaimable.insert (place.second);

    return withoutReclaimable;
}

auto orderedReplicas (const CapacityHistory& history,
                      const std::string& service,
                      const std::string& domain,
                      bool isReclaimable) -> std::uint32_t
{
    const auto accepted = history.acceptedOrders.find ({ service, domain, isReclaimable });
    return accepted == history.acceptedOrders.end() ? 0 : accepted->second.replicas;
}

auto isOrderDue (const CapacityHistory& history,
            const CapacityOrder& order,
            std::uint32_t serving,
            Duration bootTime,
            TimePoint now) -> bool
{
    const auto accepted = history.acceptedOrders.find ({ order.service, order.failureDomain, order.isReclaimable });

    const auto mayStillBoot = history.takenOverAt && now - *history.takenOverAt < bootTime + registrationTime;

    if (accepted == history.acceptedOrders.end() && mayStillBoot && order.replicas <= serving)
        return false;

    if (accepted == history.acceptedOrders.end() || accepted->second.replicas < order.replicas)
        return true;

    if (accepted->second.replicas - order.replicas >= std::max (1U, accepted->second.replicas / minReductionDivisor))
        return true;

    return serving != accepted->second.replicas && now - accepted->second.acceptedAt > bootTime + reorderPause;
}

} // namespace snowrudder
