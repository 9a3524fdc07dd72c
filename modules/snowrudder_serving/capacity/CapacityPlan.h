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
    /** Of what is needed, the part for which on-demand replicas are paid while reclaimable ones are not to be had. */
    double onDemandShare = 1.0;
    /** Replicas that have slots for what runs; for these, too, on-demand ones are paid. */
    double neededForSlots = 0.0;
    /** Failure domains where no more reclaimable replicas are to be had now. */
    std::set<std::string> withoutReclaimable;
    /** On-demand replicas that are ordered there; some may still boot. */
    std::map<std::string, std::uint32_t> orderedOnDemand;
    /** Failure domains, those with the most reclaimable replicas, that may lose them before on-demand ones could boot. */
    std::size_t domainsAtRisk = 0;
};

/** Plans the replicas of a service: the cheapest mix that still has what is needed when the failure domain with the most
    reclaimable replicas loses them all at once.

    Reclaimable replicas are spread evenly over the domains; a domain where no more are to be had keeps those that serve.
    On-demand ones make up for what does not serve yet, was taken away, or is at risk: they go as reclaimable ones come up, the
    dearest first, and come back where too little is left.
*/
auto planCapacity (const CapacityInput& input) -> std::map<std::string, DomainCapacity>;

} // namespace snowrudder
