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

/** State that the node that orders replicas keeps between two planning runs. */
struct CapacityMemory
{
    struct AcceptedOrder
    {
        std::uint32_t replicas = 0;
        TimePoint acceptedAt {};
    };

    using DomainOfService = std::pair<std::string, std::string>;

    /** Accepted orders, by service, failure domain, and whether they are for reclaimable replicas. */
    std::map<std::tuple<std::string, std::string, bool>, AcceptedOrder> acceptedOrders;
    /** By service and failure domain: until when no more reclaimable replicas are ordered. */
    std::map<DomainOfService, TimePoint> unavailableUntil;
    /** Reclaimable replicas that served at the last planning run, by service and failure domain. */
    std::map<DomainOfService, std::uint32_t> lastServing;
    /** By service: when reclaims were last seen, or an order was last refused because of them. */
    std::map<std::string, TimePoint> lastReclaims;
    /** Replicas that each service needs, smoothed: for all its work, and to have a slot for each running request. */
    std::map<std::string, double> needed;
    std::map<std::string, double> neededForSlots;
    /** Fencing token of the duty under which this state was collected. */
    std::uint64_t fence = 0;
    /** When this node took the duty over from another one, whose orders it does not know; empty if no other node held
        it recently.
    */
    std::optional<TimePoint> takenOverAt;
};

/** Updates the replicas that a service needs with a measured value. The result rises at once and falls slowly.

    @param passed  since the last update
    @returns       replicas needed
*/
auto updateNeeded (std::map<std::string, double>& needed,
                   const std::string& service,
                   double measured,
                   Duration passed) -> double;

/** Records how many reclaimable replicas serve in a failure domain.

    @returns whether most of them disappeared since the last call although they are still ordered, which means a reclaim
*/
auto recordServing (CapacityMemory& memory,
                    const std::string& service,
                    const std::string& domain,
                    std::uint32_t serving,
                    TimePoint now) -> bool;

/** Records the outcome of an order. */
auto recordOrder (CapacityMemory& memory, const CapacityOrder& order, StoreOutcome outcome, TimePoint now)
    -> void;

/** @returns whether a wave of reclaims affects a service, so that more failure domains may lose their reclaimable
    replicas.
*/
auto isReclaimWave (const CapacityMemory& memory, const std::string& service, TimePoint now) -> bool;

/** @returns failure domains where no more reclaimable replicas are available for a service at present. */
auto unavailableDomains (const CapacityMemory& memory, const std::string& service, TimePoint now)
    -> std::set<std::string>;

/** @returns the replicas of the last accepted order; 0 if there is none. */
auto orderedReplicas (const CapacityMemory& memory,
                      const std::string& service,
                      const std::string& domain,
                      bool isReclaimable) -> std::uint32_t;

/** @returns whether an order is to be placed now: it asks for more replicas or clearly fewer, or the number that serves
    still differs from the last order well after the boot time. A node that has just taken the duty over never orders
    fewer than serve, since more may be booting on the orders of its predecessor.
*/
auto isOrderDue (const CapacityMemory& memory,
                 const CapacityOrder& order,
                 std::uint32_t serving,
                 Duration bootTime,
                 TimePoint now) -> bool;

} // namespace snowrudder
