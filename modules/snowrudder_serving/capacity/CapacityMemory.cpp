#include "CapacityMemory.h"

#include <algorithm>

namespace snowrudder
{

namespace
{

/** After a refusal for want of reclaimable replicas, until the next try. */
constexpr auto dryPause = Duration (3s);

/** An order is given again when what serves still differs from it after the boot time and this. */
constexpr auto repeatPause = Duration (3s);

/** From a replica's start until its entry is seen. */
constexpr auto entryTime = Duration (1500ms);

/** What is needed falls over this time: a swing of the day takes 40 s, and a replica that is given up takes some seconds to
    come back.
*/
constexpr auto fallTime = Duration (15s);

/** Orders fall by this part at least: with each replica that goes, what it had cached is lost, and all readers of the store
    are told twice.
*/
constexpr auto leastFall = 6U;

/** Reclaims come in waves: as seen so far two to four failure domains lose theirs within 13 s, and no new ones are to be
    had for 12 to 15 s. For so long after the last sign of one, others are expected.
*/
constexpr auto waveTime = Duration (5s);

/** A failure domain that keeps no more than one in so many of its reclaimable replicas was reclaimed. */
constexpr auto mostLost = 4U;

} // namespace

auto noteNeeded (std::map<std::string, double>& needed,
                 const std::string& service,
                 double measured,
                 Duration passed) -> double
{
    auto& mean = needed.emplace (service, measured).first->second;
    const auto fall = std::chrono::duration<double> (passed) / std::chrono::duration<double> (fallTime);
    mean = std::max (measured, mean + (measured - mean) * std::min (1.0, fall));
    return mean;
}

auto noteServing (CapacityMemory& memory,
                  const std::string& service,
                  const std::string& domain,
                  std::uint32_t serving,
                  TimePoint now) -> bool
{
    auto& before = memory.served[{ service, domain }];
    const auto isOrdered = orderedReplicas (memory, service, domain, true) > serving;
    const auto isReclaimed = before > 0 && serving * mostLost <= before && isOrdered;
    before = serving;

    if (! isReclaimed)
        return false;

    // No more are to be had there for a while, and an order that stands would take the room of on-demand ones.
    memory.reclaimSeen[service] = now;
    memory.dryUntil[{ service, domain }] = now + dryPause;
    return true;
}

auto noteOrder (CapacityMemory& memory, const CapacityOrder& order, StoreOutcome outcome, TimePoint now)
    -> void
{
    if (outcome == StoreOutcome::done)
        memory.given[{ order.service, order.failureDomain, order.isReclaimable }] = { order.replicas, now };

    if (outcome != StoreOutcome::refused || ! order.isReclaimable)
        return;

    memory.dryUntil[{ order.service, order.failureDomain }] = now + dryPause;
    memory.reclaimSeen[order.service] = now;
}

auto isReclaimWave (const CapacityMemory& memory, const std::string& service, TimePoint now) -> bool
{
    const auto seen = memory.reclaimSeen.find (service);
    return seen != memory.reclaimSeen.end() && now - seen->second < waveTime;
}

auto dryDomains (const CapacityMemory& memory, const std::string& service, TimePoint now)
    -> std::set<std::string>
{
    std::set<std::string> dry;

    for (const auto& [place, until] : memory.dryUntil)
        if (place.first == service && now < until)
            dry.insert (place.second);

    return dry;
}

auto orderedReplicas (const CapacityMemory& memory,
                      const std::string& service,
                      const std::string& domain,
                      bool isReclaimable) -> std::uint32_t
{
    const auto given = memory.given.find ({ service, domain, isReclaimable });
    return given == memory.given.end() ? 0 : given->second.replicas;
}

auto isDue (const CapacityMemory& memory,
            const CapacityOrder& order,
            std::uint32_t serving,
            Duration bootTime,
            TimePoint now) -> bool
{
    const auto given = memory.given.find ({ order.service, order.failureDomain, order.isReclaimable });

    const auto mayStillBoot = memory.takenOver && now - *memory.takenOver < bootTime + entryTime;

    if (given == memory.given.end() && mayStillBoot && order.replicas <= serving)
        return false;

    if (given == memory.given.end() || given->second.replicas < order.replicas)
        return true;

    if (given->second.replicas - order.replicas >= std::max (1U, given->second.replicas / leastFall))
        return true;

    return serving != given->second.replicas && now - given->second.given > bootTime + repeatPause;
}

} // namespace snowrudder
