#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstddef>

namespace snowrudder
{

/** The largest fleet in which each node sends its reports directly to all others. In larger fleets a node reports to
    one reader, which responds with the sum over all other nodes, and readers exchange sums, so that a node's traffic
    doesn't grow from 26 nodes on. When 295 nodes reported to all others, to 24 of them per round, a report took 2.7 s
    to reach all, more than half of the peers always counted as silent, and a node sent 60 to 120 reports a second.
*/
inline constexpr auto maxDirectNodes = std::size_t { 25 };

/** @returns whether nodes report to readers instead of to all other nodes.

    @param nodes  number of nodes of the fleet, including this one
*/
inline auto reportsToReaders (std::size_t nodes) -> bool
{
    return nodes > maxDirectNodes;
}

/** The interval between reports: two of them fit into the time in which limits must follow demand (1 s). */
inline constexpr auto reportInterval = 400ms;

/** The interval while an account is near its limit, since admissions between two reports may exceed the limit. */
inline constexpr auto reportIntervalWhenTight = 200ms;

/** The interval while a node that has just started doesn't know yet what the others admit: until it does, it refuses
    most requests beyond its small share of the limits. Nodes on a tenth of a core are usually scheduled every 100 ms.
*/
inline constexpr auto reportIntervalWhenUnsettled = 100ms;

/** A report's time on the network and in the receiver's event loop on a tenth of a core, measured in a fleet of 83
    nodes.
*/
inline constexpr auto reportTransitTime = 100ms;

/** @returns the time until every other node has received what this one reports; by default near a limit.

    @param nodes     number of nodes of the fleet, including this one
    @param interval  between two reports
*/
inline auto reportDelay (std::size_t nodes, Duration interval = reportIntervalWhenTight) -> Duration
{
    if (nodes <= 1)
        return Duration::zero();

    if (! reportsToReaders (nodes))
        return interval + reportTransitTime;

    // Three hops: to the reader, from there to the other readers, and from these to their nodes in response to the next
    // reports.
    constexpr auto hops = 3;
    constexpr auto transits = 2;
    return hops * interval + transits * Duration (reportTransitTime);
}

} // namespace snowrudder
