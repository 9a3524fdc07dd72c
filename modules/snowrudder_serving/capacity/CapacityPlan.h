#pragma once

#include "../configuration/RoutingConfiguration.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace snowrudder
{

/** Replicas of a service in one failure domain. */
struct DomainCapacity
{
    std::uint32_t onDemand = 0;
    std::uint32_t reclaimable = 0;

    auto operator== (const DomainCapacity&) const -> bool = default;
};

/** What a plan is made from. */
struct CapacityInput
{
    ScalingBounds bounds;
    /** Replicas that serve now, and are not leaving, by failure domain. */
    std::map<std::string, DomainCapacity> serving;
    /** Replicas that the work measured keeps busy, with the headroom that the latency target needs. */
    double needed = 0.0;
    /** Failure domains where no reclaimable replicas are to be had now. */
    std::set<std::string> dry;
};

/** Plans the replicas of a service: the cheapest mix that still has what is needed when the failure domain with the most
    reclaimable replicas loses them all at once.

    Reclaimable replicas are spread evenly; one on-demand replica stays in the cheapest domain, so that waves in all
    domains leave something. On-demand replicas go only as reclaimable ones come up, and come back where a domain is dry
    and what is left is less than needed.
*/
auto planCapacity (const CapacityInput& input) -> std::map<std::string, DomainCapacity>;

} // namespace snowrudder
