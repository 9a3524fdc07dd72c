#pragma once

#include "../duties/DutyCalls.h"

#include "snowrudder_core/snowrudder_core.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace snowrudder
{

/** What the node that orders replicas remembers between two looks. */
struct CapacityHistory
{
    struct AcceptedOrder
    {
        std::uint32_t replicas = 0;
        TimePoint acceptedAt {};
    };

    using DomainOfService = std::pair<std::string, std::string>;

    /** Orders that were taken, by service, failure domain, and whether for reclaimable replicas. */
    std::map<std::tuple<std::string, std::string, bool>, AcceptedOrder> acceptedOrders;
    /** By service and failure domain: until when no more reclaimable replicas are asked for. */
    std::map<DomainOfService, TimePoint> unavailableUntil;
    /** Reclaimable replicas that served at the last look, by service and failure domain. */
    std::map<DomainOfService, std::uint32_t> lastServing;
    /** By service: when reclaims were last seen, or were the reason why an order was refused. */
    std::map<std::string, TimePoint> lastReclaims;
    /** Replicas that each service needs, averaged, and those that it needs to have slots for what runs. */
    std::map<std::string, double> needed;
    std::map<std::string, double> neededForSlots;
    /** The duty's fence that all this was learnt under. */
    std::uint64_t fence = 0;
    /** When the duty was taken over from another node, whose orders are not known; nothing where there was none lately. */
    std::optional<TimePoint> takenOverAt;
};

/** Notes what a service was measured to need, in replicas; it rises at once and falls slowly.

    @param passed  since the last look
    @returns       replicas needed
*/
auto updateNeeded (std::map<std::string, double>& needed,
                 const std::string& service,
                 double measured,
                 Duration passed) -> double;

/** Notes how many reclaimable replicas serve in a failure domain.

    @returns whether most of them went since the last look although they are ordered: they were reclaimed
*/
auto recordServing (CapacityHistory& history,
                  const std::string& service,
                  const std::string& domain,
                  std::uint32_t serving,
                  TimePoint now) -> bool;

/** Notes what became of an order. */
auto recordOrder (CapacityHistory& history, const CapacityOrder& order, StoreOutcome outcome, TimePoint now)
    -> void;

/** @returns whether reclaims of a service's replicas go on: more domains may lose theirs. */
auto isReclaimWave (const CapacityHistory& history, const std::string& service, TimePoint now) -> bool;

/** @returns failure domains where no more of a service's reclaimable replicas are to be had now. */
auto unavailableDomains (const CapacityHistory& history, const std::string& service, TimePoint now)
    -> std::set<std::string>;

/** @returns replicas that the last order taken asks for; 0 where there is none. */
auto orderedReplicas (const CapacityHistory& history,
                      const std::string& service,
                      const std::string& domain,
                      bool isReclaimable) -> std::uint32_t;

/** @returns whether an order is to be given now: it asks for more, for clearly fewer, or what serves still differs from the
    last one well after the boot time. Who has just taken the duty over asks for no less than serves: more may boot on the
    orders of the node before it.
*/
auto isOrderDue (const CapacityHistory& history,
            const CapacityOrder& order,
            std::uint32_t serving,
            Duration bootTime,
            TimePoint now) -> bool;

} // namespace snowrudder
