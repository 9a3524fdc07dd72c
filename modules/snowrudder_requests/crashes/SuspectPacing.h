#pragma once

#include "CrashTable.h"

#include <algorithm>

namespace snowrudder
{

/** A pause is up to so long for each request that may be fatal, so that they run apart and one replica's end speaks against one. */
inline constexpr auto longestPauseEach = Duration (250ms);
inline constexpr auto longestPause = Duration (500ms);

/** How often a waiting request looks for a verdict. */
inline constexpr auto verdictLook = Duration (10ms);

/** @returns whether a request pauses before it waits for a verdict. */
[[nodiscard]] constexpr auto mustPause (const CrashJudgement& judgement) -> bool
{
    return judgement.verdict == CrashVerdict::suspected && judgement.crashes >= crashesToPause;
}

/** @returns how long it pauses at most. */
[[nodiscard]] constexpr auto pauseBound (const CrashJudgement& judgement) -> Duration
{
    const auto suspects = static_cast<std::int64_t> (std::max (judgement.suspects, std::size_t { 1 }));
    return std::min (longestPause, longestPauseEach * suspects);
}

/** What a node knows beside a request that may be fatal. */
struct SuspectSurroundings
{
    /** Whether this node runs the same request now. */
    bool isRunning = false;
    /** Whether under half of the service's replicas are left: those are not risked for a request under which several ended. */
    bool isScarce = false;
};

/** @returns whether a request has to wait: for its verdict, for the end of the same request's run, for word of the replica that it
    ran on last, or for replicas that come back.
*/
[[nodiscard]] constexpr auto mustWait (const CrashJudgement& judgement, const SuspectSurroundings& around)
    -> bool
{
    const auto isProofOut =
        judgement.openEnds > 0 && judgement.crashes + judgement.openEnds >= crashesToPause;

    if (judgement.verdict == CrashVerdict::suspected)
        return around.isRunning || around.isScarce || isProofOut;

    return judgement.verdict == CrashVerdict::undecided;
}

} // namespace snowrudder
