#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <cstddef>

namespace snowrudder
{

/** Up to this many nodes tell each other directly what they admit, in one round. In larger fleets a node reports to one
    reader, which answers with the sum of all others, and readers tell each other sums: what a node sends and hears stays
    the same from 26 nodes on. In turns of 24 from each to all, 295 nodes took 2.7 s until all had heard, more than half of
    the others always counted as silent, and a node sent 60 to 120 reports a second.
*/
inline constexpr auto maxDirectNodes = std::size_t { 25 };

/** @param nodes  this one included */
inline auto reportsToReaders (std::size_t nodes) -> bool
{
    return nodes > maxDirectNodes;
}

/** Twice within the time in which limits must follow demand (1 s). */
inline constexpr auto reportInterval = 400ms;

/** The same while an account comes near its limit: what is admitted between two reports goes over it. */
inline constexpr auto reportIntervalWhenTight = 200ms;

/** The same while a node that has just started does not know yet what the others admit: it refuses most of what its small
    part of the limits does not cover. Nodes on a tenth of a core run every 100 ms as a rule.
*/
inline constexpr auto reportIntervalWhenUnsettled = 100ms;

/** A report's way, and its wait in the receiver's event loop on a tenth of a core; measured at 83 nodes. */
inline constexpr auto reportTransitTime = 100ms;

/** @returns how long it takes, near a limit, until every other node has heard what this one admitted.

    @param nodes  this one included
*/
inline auto reportDelay (std::size_t nodes) -> Duration
{
    if (nodes <= 1)
        return Duration::zero();

    if (! reportsToReaders (nodes))
        return reportIntervalWhenTight + reportTransitTime;

    // To the reader, from there to the other readers, and from those with the answers to their nodes' next reports.
    constexpr auto hops = 3;
    constexpr auto ways = 2;
    return hops * Duration (reportIntervalWhenTight) + ways * Duration (reportTransitTime);
}

} // namespace snowrudder
