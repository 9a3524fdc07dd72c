#pragma once

#include "CrashTable.h"

#include <algorithm>

namespace snowrudder
{

/** Longest random pause before a suspected request, for each request that is suspected at the time. The pauses keep
    suspects from running on the same replica at once, so that a crash counts against only one of them.
*/
inline constexpr auto maxPausePerSuspect = Duration (250ms);
/** Upper bound of that pause, for any number of suspects. */
inline constexpr auto maxSuspectPause = Duration (500ms);

/** Interval at which a waiting request polls for a verdict. */
inline constexpr auto verdictPollInterval = Duration (10ms);

/** @returns whether a request pauses for a random time before it waits for a verdict. */
[[nodiscard]] constexpr auto shouldPause (const CrashAssessment& assessment) -> bool
{
    return assessment.verdict == CrashVerdict::suspected && assessment.crashes >= crashesToPause;
}

/** @returns the longest time for which a request pauses. */
[[nodiscard]] constexpr auto maxPauseFor (const CrashAssessment& assessment) -> Duration
{
    const auto suspects = static_cast<std::int64_t> (std::max (assessment.suspects, std::size_t { 1 }));
    return std::min (maxSuspectPause, maxPausePerSuspect * suspects);
}

/** The state of this node that decides, with its assessment, whether a suspected request waits. */
struct SuspectContext
{
    /** Whether this node is running the same request now. */
    bool isRunning = false;
    /** Whether fewer than half of the service's replicas are left: those are not risked for a suspected request. */
    bool areReplicasScarce = false;
    /** Whether the latest crash may not be known to all nodes yet; see hasJustCrashed(). */
    bool hasJustCrashed = false;
};

/** How long requests with a suspected part wait after a crash, until all nodes know of it. They then run on the same
    replica, and end it together if the part is fatal.
*/
inline constexpr auto partPauseAfterCrash = Duration (300ms);

/** @returns whether requests with a suspected part of their prompts wait for others to hear of a crash. */
[[nodiscard]] inline auto hasJustCrashed (const CrashAssessment& assessment, TimePoint now) -> bool
{
    return assessment.subject == CrashSubject::promptPart && now - assessment.lastCrash < partPauseAfterCrash;
}

/** @returns whether a request has to wait: for its verdict, for a run of the same request to end, for evidence of
    whether the replica that ran it last has crashed, or for replicas to return.
*/
[[nodiscard]] constexpr auto shouldWait (const CrashAssessment& assessment, const SuspectContext& context)
    -> bool
{
    const auto isProofPending = assessment.unconfirmedCrashes > 0 &&
                                assessment.crashes + assessment.unconfirmedCrashes >= crashesToPause;

    if (assessment.verdict == CrashVerdict::suspected)
        return context.isRunning || context.areReplicasScarce || context.hasJustCrashed || isProofPending;

    return assessment.verdict == CrashVerdict::undecided;
}

} // namespace snowrudder
