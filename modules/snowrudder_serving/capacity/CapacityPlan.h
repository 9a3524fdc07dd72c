#pragma once

#include "../configuration/RoutingConfiguration.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace snowrudder
{

/** Number of replicas of a service in one failure domain. */
struct DomainCapacity
{
    std::uint32_t onDemand = 0;
    std::uint32_t reclaimable = 0;

    auto operator== (const DomainCapacity&) const -> bool = default;
};

/** Input of planCapacity(). */
struct CapacityInput
{
    ScalingBounds bounds;
    /** Replicas that serve and are not leaving, by failure domain. */
    std::map<std::string, DomainCapacity> serving;
    /** Replicas that the measured work occupies, including the headroom that the latency target requires. */
    double needed = 0.0;
    /** Fraction of `needed` for which on-demand replicas are ordered while reclaimable ones are unavailable. */
    double onDemandShare = 1.0;
    /** Replicas required to have a slot for each running request; on-demand ones are ordered for all of these. */
    double neededForSlots = 0.0;
    /** Failure domains where no more reclaimable replicas are available at present. */
    std::set<std::string> withoutReclaimable;
    /** Ordered on-demand replicas, by failure domain; some may still be booting. */
    std::map<std::string, std::uint32_t> orderedOnDemand;
    /** Number of failure domains, those with the most reclaimable replicas, that may lose them before on-demand ones
        can boot.
    */
    std::size_t domainsAtRisk = 0;
};

/** Plans the replicas of a service: the cheapest mix that still covers the need when the failure domain with the most
    reclaimable replicas loses them all at once.

    Reclaimable replicas are spread evenly over the domains; a domain where no more are available keeps those that
    serve. On-demand replicas replace those that don't serve yet, were reclaimed, or are at risk. They are released as
    reclaimable ones start to serve, the most expensive first, and ordered again where too few are left.
*/
auto planCapacity (const CapacityInput& input) -> std::map<std::string, DomainCapacity>;

} // namespace snowrudder
