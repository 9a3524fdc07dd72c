#pragma once

#include "snowrudder_core/snowrudder_core.h"

#include <algorithm>
#include <cstddef>

namespace snowrudder
{

/** Reports that a node sends in one round at most: its cost stays flat as the fleet grows. Targets take turns, so that each
    of 83 other nodes is told within four rounds.
*/
inline constexpr auto mostReportTargets = std::size_t { 24 };

/** Twice within the time in which limits must follow demand (1 s). */
inline constexpr auto reportInterval = 400ms;

/** The same while an account comes near its limit: what is admitted between two reports goes over it. */
inline constexpr auto reportIntervalWhenTight = 200ms;

/** A report's way, and its wait in the receiver's event loop on a tenth of a core; measured at 83 nodes. */
inline constexpr auto reportWay = 100ms;

/** @returns how long it takes, near a limit, until every other node has heard what this one admitted.

    @param nodes  this one included
*/
inline auto reportDelay (std::size_t nodes) -> Duration
{
    const auto others = std::max<std::size_t> (nodes, 1) - 1;
    const auto rounds = (others + mostReportTargets - 1) / mostReportTargets;
    return others == 0 ? Duration::zero()
                       : Duration (static_cast<long> (rounds) * reportIntervalWhenTight + reportWay);
}

} // namespace snowrudder
