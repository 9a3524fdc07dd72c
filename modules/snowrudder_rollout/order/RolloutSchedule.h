#pragma once

#include "../evidence/VersionTrial.h"
#include "Rollout.h"

namespace snowrudder
{

/** Durations within a roll-out. */
struct RolloutTimes
{
    /** New requests go to the new version for this long before the old replicas stop; most streams have ended by then.
    */
    Duration move = 3s;
    /** Reserved at the end of the period for a slow store, and for nodes that receive the decision late. */
    Duration margin = 1s;
    /** Fraction of the period that `move` and `margin` may take. */
    double maxPeriodShare = 0.4;
};

/** Answers of the new version that are required before it is accepted. */
inline constexpr auto minAnswers = std::uint64_t { 30 };

/** @returns the stage that a roll-out is to have now.

    A bad version is rolled back at once, also while requests move to it. Any other moves on when its period is nearly
    over; without enough answers it remains under judgement, also past its period.

    @param hasOthers  whether there are replicas of other versions; otherwise the version is in service already
*/
auto nextStage (const Rollout& rollout,
                const VersionVerdict& verdict,
                bool hasOthers,
                const RolloutTimes& times,
                TimePoint now) -> RolloutStage;

} // namespace snowrudder
