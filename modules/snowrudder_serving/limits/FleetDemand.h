#pragma once

#include "../members/PeerTable.h"
#include "DemandShare.h"

#include <algorithm>
#include <optional>
#include <string>

namespace snowrudder
{

/** @returns the number of nodes that share limits, as far as this node knows: listed, or heard of since the list.

    @param members  number of nodes in the store's latest list, this one included; empty before the first list
*/
inline auto countSharingNodes (const PeerTable& peers, std::optional<std::size_t> members, TimePoint now)
    -> std::size_t
{
    return std::max (peers.countRecentNodes (now) + 1, members.value_or (1));
}

/** @returns the time until all nodes have heard of this one's demand, even if some reports are lost on the way.

    @param nodes  from countSharingNodes()
*/
inline auto demandNewsDelay (std::size_t nodes) -> Duration
{
    constexpr auto lostReports = 2;
    return nodes <= 1 ? Duration::zero() : reportDelay (nodes, reportInterval) + lostReports * reportInterval;
}

/** @returns the demand for a service as this node knows it.

    @param ownPerSecond  requests a second at this node
    @param members       as for countSharingNodes()
*/
inline auto fleetDemand (const PeerTable& peers,
                         const std::string& service,
                         double ownPerSecond,
                         std::optional<std::size_t> members,
                         TimePoint now) -> ServiceDemand
{
    const auto others = peers.demand (service, now);
    const auto nodes = static_cast<double> (countSharingNodes (peers, members, now));
    ServiceDemand demand { ownPerSecond, others.requestsPerSecond };

    // Without a list of the members, nothing says how many nodes share the limits.
    demand.equalShare = members ? 1.0 / nodes : 0.0;
    demand.heardShare = demand.equalShare * static_cast<double> (others.nodes + 1);
    return demand;
}

/** This node's part of the limits that the replicas of a service state, and the figures that it was computed from. */
struct LimitShare
{
    /** As a fraction of each limit. */
    double share = 0.0;
    ServiceDemand demand;
    std::size_t nodes = 1;
};

/** @returns this node's part of the limits of a service's replicas. It has none until the others have had time to hear of it.

    @param ownPerSecond  requests a second at this node
    @param members       as for countSharingNodes()
    @param startedAt     when this node's process started
*/
inline auto updateLimitShare (DemandShare& share,
                              const PeerTable& peers,
                              const std::string& service,
                              double ownPerSecond,
                              std::optional<std::size_t> members,
                              TimePoint startedAt,
                              TimePoint now) -> LimitShare
{
    LimitShare own;
    own.nodes = countSharingNodes (peers, members, now);
    own.demand = fleetDemand (peers, service, ownPerSecond, members, now);
    const auto newsDelay = demandNewsDelay (own.nodes);
    const auto part = updateShare (share, own.demand, newsDelay, now);
    own.share = now - startedAt < newsDelay ? 0.0 : part;
    return own;
}

} // namespace snowrudder
