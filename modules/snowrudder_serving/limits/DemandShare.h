#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <deque>

namespace snowrudder
{

/** The demand for the replicas of a service, as one node knows it. */
struct ServiceDemand
{
    /** Requests a second at this node, and at the others by their reports. */
    double own = 0.0;
    double others = 0.0;
    /** An equal part for one node, as a fraction. */
    double equalShare = 1.0;
    /** The share of the nodes, this one included, whose demand `own` and `others` cover. */
    double heardShare = 1.0;
};

/** The part of the limits of a service's replicas that a node may use, as a fraction of them. A small fraction of each limit is
    divided equally, so that a node without requests can serve its first ones; the rest by demand among the nodes whose demand
    is known. Each other node is left its equal part, and a node that knows no demand but its own has its equal part.

    A part that shrinks does so at once. One that grows does so only once the other nodes have heard of the demand behind
    it and use less, so that all parts add up to no more than the limit.
*/
struct DemandShare
{
    struct Sample
    {
        TimePoint at {};
        double share = 0.0;
    };

    /** The least parts by the demand of the last moments, each less than those after it; the oldest first. */
    std::deque<Sample> samples;
};

/** Records the demand of a moment.

    @param newsDelay  time until every other node has heard of it
    @returns          the part that the node may use
*/
auto updateShare (DemandShare& share, const ServiceDemand& demand, Duration newsDelay, TimePoint now)
    -> double;

} // namespace snowrudder
