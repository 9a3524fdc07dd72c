#pragma once

#include "CrashTable.h"

#include <algorithm>

namespace snowrudder
{

/** A pause is up to so long for each request that may be fatal, so that they run apart and one replica's end speaks against one. */
inline constexpr auto maxPausePerSuspect = Duration (250ms);
inline constexpr auto maxSuspectPause = Duration (500ms);

/** How often a waiting request looks for a verdict. */
inline constexpr auto verdictPollInterval = Duration (10ms);

/** @returns whether a request pauses before it waits for a verdict. */
[[nodiscard]] constexpr auto shouldPause (const CrashAssessment& assessment) -> bool
{
    return assessment.verdict == CrashVerdict::suspected && assessment.crashes >= crashesToPause;
}

/** @returns how long it pauses at most. */
[[nodiscard]] constexpr auto maxPauseFor (const CrashAssessment& assessment) -> Duration
{
    const auto suspects = static_cast<std::int64_t> (std::max (assessment.suspects, std::size_t { 1 }));
    return std::min (maxSuspectPause, maxPausePerSuspect * suspects);
}

/** What a node knows beside a request that may be fatal. */
struct SuspectContext
{
    /** Whether this node runs the same request now. */
    bool isRunning = false;
    /** Whether under half of the service's replicas are left: those are not risked for a request under which several ended. */
    bool areReplicasScarce = false;
};

/** @returns whether a request has to wait: for its verdict, for the end of the same request's run, for word of the replica that it
    ran on last, or for replicas that come back.
*/
[[nodiscard]] constexpr auto shouldWait (const CrashAssessment& assessment, const SuspectContext& around)
    -> bool
{
    const auto isProofOut = assessment.unconfirmedCrashes > 0 &&
                            assessment.crashes + assessment.unconfirmedCrashes >= crashesToPause;

    if (assessment.verdict == CrashVerdict::suspected)
        return around.isRunning || around.areReplicasScarce || isProofOut;

    return assessment.verdict == CrashVerdict::undecided;
}

} // namespace snowrudder
